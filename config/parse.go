package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
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

// EncodeInventory writes an inventory as JSON. Between processes it takes the
// place of the document, whose parsing needs a hundred times its size in
// memory.
func EncodeInventory(inv Inventory) ([]byte, error) {
	data, err := json.Marshal(inv)
	return data, eris.Wrap(err, "config: cannot encode the inventory")
}

// DecodeInventory reads what EncodeInventory wrote, checks it like
// ParseInventory and fills in the defaults of absent fields. Its *InvalidError
// has no lines.
func DecodeInventory(data []byte) (Inventory, error) {
	if len(data) > MaxInventoryBytes {
		return Inventory{}, eris.Wrapf(ErrTooLarge, "%s: expected at most %d bytes", inventoryName, MaxInventoryBytes)
	}
	var inv Inventory
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&inv); err != nil {
		return Inventory{}, eris.Wrapf(ErrInvalid, "%s: %v", inventoryName, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Inventory{}, eris.Wrapf(ErrInvalid, "%s: expected a single document", inventoryName)
	}
	inv = withDefaults(inv)
	if err := Validate(inv); err != nil {
		return Inventory{}, err
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

// errDecoder reports a document that the YAML library can't cope with.
var errDecoder = eris.New("config: the YAML decoder failed")

// decode decodes a document. The library panics on some tags that don't fit the
// value behind them.
func decode(data []byte, out any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Wrapf(errDecoder, "%v", cause)
		}
	}()
	return yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(out)
}

// decodeStrict decodes one YAML document into out. Unknown and repeated keys,
// anchors and aliases are refused; the latter could expand a small document
// without bound.
func decodeStrict(name string, data []byte, limit int, out any) (*document, error) {
	if len(data) > limit {
		return nil, eris.Wrapf(ErrTooLarge, "%s: expected at most %d bytes", name, limit)
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey()) // The decoder refuses them, with their place.
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
	err = decode(data, out)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, decodeError(name, file, err)
	}
	return doc, nil
}
