package config

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// unlocatedIssue is an Issue whose line is not known yet.
type unlocatedIssue struct {
	key      string
	expected string
	got      string
}

// maxIssues limits the issues in an error.
const maxIssues = 20

var (
	idPattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
)

// expectations describes the expected value for each validation tag. "%s" is replaced
// with the parameter of the tag.
var expectations = map[string]string{
	"id":              "an identifier of 1 to 128 letters, digits, '.', '_' or '-'",
	"sha256_hex":      "a SHA-256 hash in 64 lower-case hexadecimal digits",
	"http_method":     "an upper-case HTTP method",
	"ip":              "an IP address",
	"ip_port":         "ip:port",
	"host_port":       "host:port",
	"http_url":        "an http or https URL",
	"oneof":           "one of %s",
	"startswith":      "a text that starts with %s",
	"gt":              "more than %s",
	"gte":             "at least %s",
	"lte":             "at most %s",
	"min":             "at least %s entries",
	"max":             "at most %s entries or characters",
	"required_unless": "a value, or plaintext: true",
	"excluded_if":     "no value beside plaintext: true",
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	register(v, "id", idPattern.MatchString)
	register(v, "sha256_hex", sha256Pattern.MatchString)
	register(v, "http_method", methodPattern.MatchString)
	register(v, "ip_port", isIPPort)
	register(v, "host_port", isHostPort)
	return v
}

func register(v *validator.Validate, tag string, match func(string) bool) {
	check := func(field validator.FieldLevel) bool { return match(field.Field().String()) }
	if err := v.RegisterValidation(tag, check); err != nil {
		panic(err) // Fails only for an empty or reserved tag.
	}
}

func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

func isIPPort(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && addr.Port() != 0
}

// isHostPort accepts an empty host and port zero, which are valid listen addresses.
func isHostPort(text string) bool {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// Validate validates an inventory that was not parsed by ParseInventory. The defaults of
// missing fields must have been applied. It returns an *InvalidError without lines.
func Validate(inv Inventory) error {
	issues := checkInventory(inv)
	if len(issues) == 0 {
		return nil
	}
	found := make([]Issue, len(issues))
	for i, u := range issues {
		found[i] = Issue{Key: u.key, Expected: u.expected, Got: u.got}
	}
	return newInvalidError(inventoryName, found...)
}

// checkInventory checks references only if all fields are valid.
func checkInventory(inv Inventory) []unlocatedIssue {
	issues := checkFields(&inv)
	if len(issues) > 0 {
		return issues
	}
	return checkReferences(inv)
}

func checkFields(value any) []unlocatedIssue {
	err := validate.Struct(value)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return nil
	}
	issues := make([]unlocatedIssue, 0, min(len(failures), maxIssues))
	for _, failure := range failures[:min(len(failures), maxIssues)] {
		issues = append(issues, fieldIssue(failure))
	}
	return issues
}

func fieldIssue(failure validator.FieldError) unlocatedIssue {
	_, key, _ := strings.Cut(failure.Namespace(), ".")
	expected, ok := expectations[failure.Tag()]
	if !ok {
		expected = failure.Tag() + " %s"
	}
	expected = strings.ReplaceAll(expected, "%s", failure.Param())
	return unlocatedIssue{key: key, expected: expected, got: scalarText(failure.Value())}
}

// scalarText formats a scalar value. It returns an empty string for other values.
func scalarText(value any) string {
	switch reflect.ValueOf(value).Kind() {
	case reflect.Slice, reflect.Struct, reflect.Map, reflect.Pointer, reflect.Invalid:
		return ""
	default:
		return fmt.Sprint(value)
	}
}
