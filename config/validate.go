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

// issue is a fault before its line is known.
type issue struct {
	key      string
	expected string
	got      string
}

// maxIssues bounds the faults that are reported at once.
const maxIssues = 20

var (
	idPattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
)

// expectations tell in words what each validation tag expects. "%s" stands for
// the tag's parameter.
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
		panic(err) // Only an empty tag or a reserved one fails.
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

// isHostPort allows an empty host and port zero, which listeners understand.
func isHostPort(text string) bool {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// Validate checks an inventory that was not read by ParseInventory. Absent
// fields that have defaults must be filled in. It returns an *InvalidError
// without lines.
func Validate(inv Inventory) error {
	issues := checkInventory(inv)
	if len(issues) == 0 {
		return nil
	}
	found := make([]Issue, len(issues))
	for i, is := range issues {
		found[i] = Issue{Key: is.key, Expected: is.expected, Got: is.got}
	}
	return newInvalidError(inventoryName, found...)
}

// checkInventory checks fields first; references make sense only between valid
// fields.
func checkInventory(inv Inventory) []issue {
	issues := checkFields(&inv)
	if len(issues) > 0 {
		return issues
	}
	return checkReferences(inv)
}

func checkFields(value any) []issue {
	err := validate.Struct(value)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return nil
	}
	issues := make([]issue, 0, min(len(failures), maxIssues))
	for _, failure := range failures[:min(len(failures), maxIssues)] {
		issues = append(issues, fieldIssue(failure))
	}
	return issues
}

func fieldIssue(failure validator.FieldError) issue {
	_, key, _ := strings.Cut(failure.Namespace(), ".")
	expected, ok := expectations[failure.Tag()]
	if !ok {
		expected = failure.Tag() + " %s"
	}
	expected = strings.ReplaceAll(expected, "%s", failure.Param())
	return issue{key: key, expected: expected, got: scalarText(failure.Value())}
}

// scalarText returns a value as text; empty for composite values.
func scalarText(value any) string {
	switch reflect.ValueOf(value).Kind() {
	case reflect.Slice, reflect.Struct, reflect.Map, reflect.Pointer, reflect.Invalid:
		return ""
	default:
		return fmt.Sprint(value)
	}
}
