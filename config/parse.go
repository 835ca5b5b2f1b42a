package config

// MaxInventoryBytes is the size limit of an inventory document.
const MaxInventoryBytes = 4 << 20

// MaxSettingsBytes is the size limit of a settings file.
const MaxSettingsBytes = 1 << 20

// ParseInventory reads an inventory document and fills in defaults. It returns
// ErrTooLarge, or ErrInvalid with the line, the key and what was expected.
func ParseInventory(data []byte) (Inventory, error) {
	var inv Inventory
	err := decodeStrict("inventory", data, MaxInventoryBytes, &inv)
	if err != nil {
		return Inventory{}, err
	}
	inv = withDefaults(inv)
	return inv, nil
}

func loadSettings(path string, settings any) error { _ = path; _ = settings; return nil }

func decodeStrict(name string, data []byte, limit int, out any) error {
	_ = name
	_ = data
	_ = limit
	_ = out
	return nil
}
