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
	// MaxInventoryBytes is the maximum size of an inventory document.
	MaxInventoryBytes = 4 << 20
	// MaxSettingsBytes is the maximum size of a settings file.
	MaxSettingsBytes = 1 << 20
)

// inventoryName replaces the file name in errors about an inventory.
const inventoryName = "inventory"

// ParseInventory parses and validates a YAML inventory and applies the defaults of
// missing fields. It returns ErrTooLarge or an *InvalidError whose issues hold the line,
// the key and the expected value.
func ParseInventory(data []byte) (Inventory, error) {
	var inv Inventory
	doc, err := decodeStrict(inventoryName, data, MaxInventoryBytes, &inv)
	if err != nil {
		return Inventory{}, err
	}
	inv = withDefaults(inv)
	issues := checkInventory(inv)
	if len(issues) > 0 {
		return Inventory{}, doc.invalidError(issues)
	}
	return inv, nil
}

// EncodeInventory encodes an inventory as JSON. Processes exchange this form instead of
// YAML, because parsing YAML takes a hundred times the document's size in memory.
func EncodeInventory(inv Inventory) ([]byte, error) {
	data, err := json.Marshal(inv)
	return data, eris.Wrap(err, "config: cannot encode the inventory")
}

// DecodeInventory decodes the output of EncodeInventory, validates it like
// ParseInventory and applies the defaults of missing fields. Its errors hold no lines.
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

// FormatInventory encodes an inventory as YAML.
func FormatInventory(inv Inventory) ([]byte, error) {
	data, err := yaml.Marshal(inv)
	return data, eris.Wrap(err, "config: cannot format the inventory")
}

// loadSettings decodes and validates a settings file into out, which holds the defaults.
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
		return doc.invalidError(issues)
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

// errDecoder reports that the YAML library panicked while decoding a document.
var errDecoder = eris.New("config: the YAML decoder failed")

// decode decodes a document. It recovers from panics of the YAML library, which panics
// on some tags that don't match the type of their value.
func decode(data []byte, out any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Wrapf(errDecoder, "%v", cause)
		}
	}()
	return yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(out)
}

// decodeStrict decodes a single YAML document into out. It rejects unknown and duplicate
// keys, anchors and aliases: aliases could make a small document expand without limit.
func decodeStrict(name string, data []byte, limit int, out any) (*document, error) {
	if len(data) > limit {
		return nil, eris.Wrapf(ErrTooLarge, "%s: expected at most %d bytes", name, limit)
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey()) // The decoder rejects duplicates and reports their position.
	if err != nil {
		return nil, decodeError(name, nil, err)
	}
	doc := &document{name: name, file: file}
	if len(file.Docs) > 1 {
		return nil, doc.invalidError([]unlocatedIssue{{expected: "a single document"}})
	}
	if tok := firstAnchorOrAlias(file); tok != nil {
		return nil, newInvalidError(name, Issue{Line: tok.Position.Line, Expected: "no anchors or aliases"})
	}
	err = decode(data, out)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, decodeError(name, file, err)
	}
	return doc, nil
}
