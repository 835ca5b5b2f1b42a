package config

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// document is a parsed YAML document, used to look up the lines of keys.
type document struct {
	name string
	file *ast.File
}

// decodeError converts an error of the YAML library into an *InvalidError.
func decodeError(name string, file *ast.File, err error) error {
	found := Issue{Expected: err.Error()}
	var detail yaml.Error
	if errors.As(err, &detail) && detail.GetToken() != nil {
		found.Expected = expectation(detail)
		found.Line = detail.GetToken().Position.Line
		found.Key = keyAt(file, detail.GetToken())
	}
	return newInvalidError(name, found)
}

// expectation describes what the YAML library expected.
func expectation(err yaml.Error) string {
	var wrongType *yaml.TypeError
	var unknown *yaml.UnknownFieldError
	var malformed *yaml.SyntaxError
	switch {
	case errors.As(err, &wrongType):
		return kindName(wrongType.DstType.Kind())
	case errors.As(err, &unknown):
		return "a known key"
	case errors.As(err, &malformed):
		return fmt.Sprintf("well-formed YAML (%s)", malformed.Message)
	}
	return err.GetMessage()
}

func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "a mapping"
	default:
		return "a text"
	}
}

// invalidError returns an *InvalidError with the issues and the lines of their keys.
func (d *document) invalidError(issues []unlocatedIssue) error {
	found := make([]Issue, len(issues))
	for i, u := range issues {
		found[i] = Issue{Line: d.line(u.key), Key: u.key, Expected: u.expected, Got: u.got}
	}
	return newInvalidError(d.name, found...)
}

// line returns the line of a key, or of its closest ancestor in the document if the
// key is missing.
func (d *document) line(key string) int {
	for key != "" {
		if line, ok := d.lineOf(key); ok {
			return line
		}
		key = parentKey(key)
	}
	return 1
}

func (d *document) lineOf(key string) (int, bool) {
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 0, false
	}
	node, err := path.FilterFile(d.file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0, false
	}
	return node.GetToken().Position.Line, true
}

func parentKey(key string) string {
	for i := len(key) - 1; i > 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}

// keyAt returns the path of the key or value that contains a token.
func keyAt(file *ast.File, tok *token.Token) string {
	finder := &keyFinder{offset: tok.Position.Offset}
	walkFile(file, finder)
	return finder.key
}

// firstAnchorOrAlias returns the token of the first anchor or alias, or nil if there is
// none.
func firstAnchorOrAlias(file *ast.File) *token.Token {
	finder := &anchorFinder{}
	walkFile(file, finder)
	return finder.token
}

func walkFile(file *ast.File, visitor ast.Visitor) {
	if file == nil {
		return
	}
	for _, doc := range file.Docs {
		if doc.Body != nil {
			ast.Walk(visitor, doc.Body)
		}
	}
}

type keyFinder struct {
	offset int
	key    string
}

// Visit implements ast.Visitor.
func (f *keyFinder) Visit(node ast.Node) ast.Visitor {
	tok := node.GetToken()
	if tok != nil && tok.Position.Offset == f.offset && len(node.GetPath()) > 2 {
		f.key = node.GetPath()[2:]
	}
	return f
}

type anchorFinder struct {
	token *token.Token
}

// Visit implements ast.Visitor.
func (f *anchorFinder) Visit(node ast.Node) ast.Visitor {
	kind := node.Type()
	if f.token == nil && (kind == ast.AnchorType || kind == ast.AliasType) {
		f.token = node.GetToken()
	}
	return f
}
