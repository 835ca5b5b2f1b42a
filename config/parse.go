package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/rotisserie/eris"
)

const (
	// MaxInventoryBytes is the size limit of an inventory document.
	MaxInventoryBytes = 4 << 20
	// MaxSettingsBytes is the size limit of a settings file.
	MaxSettingsBytes = 1 << 20
)

// inventoryName stands for the file name in errors about an inventory.
const inventoryName = "inventory"

// ParseInventory reads and checks an inventory document and fills in the
// defaults of absent fields. It returns ErrTooLarge, or an *InvalidError with
// the line, the key and what was expected.
func ParseInventory(data []byte) (Inventory, error) {
	var inv Inventory
	doc, err := decodeStrict(inventoryName, data, MaxInventoryBytes, &inv)
	if err != nil {
		return Inventory{}, err
	}
	inv = withDefaults(inv)
	issues := checkInventory(inv)
	if len(issues) > 0 {
		return Inventory{}, doc.invalid(issues)
	}
	return inv, nil
}

// FormatInventory writes an inventory as a document.
func FormatInventory(inv Inventory) ([]byte, error) {
	data, err := yaml.Marshal(inv)
	return data, eris.Wrap(err, "config: cannot format the inventory")
}

// loadSettings reads a settings file into out, which holds the defaults.
func loadSettings(path string, out any) error {
	data, err := readLimited(path, MaxSettingsBytes)
	if err != nil {
		return err
	}
	doc, err := decodeStrict(filepath.Base(path), data, MaxSettingsBytes, out)
	if err != nil {
		return err
	}
	issues := checkFields(out)
	if len(issues) > 0 {
		return doc.invalid(issues)
	}
	return nil
}

func readLimited(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "cannot open the settings: %v", err)
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, limit+1))
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "cannot read the settings: %v", err)
	}
	return data, nil
}

// document is a parsed YAML document, kept to find the lines of keys.
type document struct {
	name string
	file *ast.File
}

// decodeStrict decodes one YAML document into out. Unknown and repeated keys,
// anchors and aliases are refused; the latter could expand a small document
// without bound.
func decodeStrict(name string, data []byte, limit int, out any) (*document, error) {
	if len(data) > limit {
		return nil, eris.Wrapf(ErrTooLarge, "%s: expected at most %d bytes", name, limit)
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, decodeError(name, nil, err)
	}
	doc := &document{name: name, file: file}
	if len(file.Docs) > 1 {
		return nil, doc.invalid([]issue{{expected: "a single document"}})
	}
	if tok := firstReference(file); tok != nil {
		return nil, newInvalidError(name, Issue{Line: tok.Position.Line, Expected: "no anchors or aliases"})
	}
	err = yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(out)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, decodeError(name, file, err)
	}
	return doc, nil
}

// decodeError turns an error of the YAML library into an *InvalidError.
func decodeError(name string, file *ast.File, err error) error {
	found := Issue{Expected: err.Error()}
	var detail yaml.Error
	if errors.As(err, &detail) && detail.GetToken() != nil {
		found.Expected = detail.GetMessage()
		found.Line = detail.GetToken().Position.Line
		found.Key = keyAt(file, detail.GetToken())
	}
	return newInvalidError(name, found)
}

// invalid adds the lines of the keys to the issues.
func (d *document) invalid(issues []issue) error {
	found := make([]Issue, len(issues))
	for i, is := range issues {
		found[i] = Issue{Line: d.line(is.key), Key: is.key, Expected: is.expected, Got: is.got}
	}
	return newInvalidError(d.name, found...)
}

// line returns the line of a key, or of its nearest parent that is present.
func (d *document) line(key string) int {
	for key != "" {
		if line, ok := d.exactLine(key); ok {
			return line
		}
		key = parentKey(key)
	}
	return 1
}

func (d *document) exactLine(key string) (int, bool) {
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

// InvalidError lists what is wrong with a document. errors.Is finds ErrInvalid.
type InvalidError struct {
	// Document is the file's base name, or "inventory".
	Document string
	Issues   []Issue
}

// Issue is a fault of a document.
type Issue struct {
	// Line is zero if the fault has no place in the document.
	Line int
	// Key is a path such as "upstreams[3].service".
	Key      string
	Expected string
	// Got is the value found; empty if absent or of no use.
	Got string
}

// String returns "line: key: expected ..., got ...".
func (i Issue) String() string {
	text := fmt.Sprintf("%d: ", i.Line)
	if i.Key != "" {
		text += i.Key + ": "
	}
	text += "expected " + i.Expected
	if i.Got != "" {
		text += fmt.Sprintf(", got %q", i.Got)
	}
	return text
}

func newInvalidError(name string, issues ...Issue) *InvalidError {
	return &InvalidError{Document: name, Issues: issues}
}

// Error returns a line for each issue.
func (e *InvalidError) Error() string {
	var text bytes.Buffer
	for i, is := range e.Issues {
		if i > 0 {
			text.WriteByte('\n')
		}
		fmt.Fprintf(&text, "config: %s:%s", e.Document, is)
	}
	return text.String()
}

// Is makes errors.Is find ErrInvalid.
func (e *InvalidError) Is(target error) bool {
	return target == ErrInvalid
}

// keyAt returns the path of the value or key that a token belongs to.
func keyAt(file *ast.File, tok *token.Token) string {
	finder := &tokenFinder{offset: tok.Position.Offset}
	walkFile(file, finder)
	return finder.key
}

// firstReference returns the token of the first anchor or alias, or nil.
func firstReference(file *ast.File) *token.Token {
	finder := &referenceFinder{}
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

type tokenFinder struct {
	offset int
	key    string
}

// Visit implements ast.Visitor.
func (f *tokenFinder) Visit(node ast.Node) ast.Visitor {
	tok := node.GetToken()
	if tok != nil && tok.Position.Offset == f.offset && len(node.GetPath()) > 2 {
		f.key = node.GetPath()[2:]
	}
	return f
}

type referenceFinder struct {
	token *token.Token
}

// Visit implements ast.Visitor.
func (f *referenceFinder) Visit(node ast.Node) ast.Visitor {
	kind := node.Type()
	if f.token == nil && (kind == ast.AnchorType || kind == ast.AliasType) {
		f.token = node.GetToken()
	}
	return f
}
