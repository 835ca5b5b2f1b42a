package standin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// oddNesting is more levels than common decoders accept.
const oddNesting = 20_000

// OddRegistration is an object that another writer puts among those of servers. It names no
// server to use.
type OddRegistration struct {
	// Kind is what is odd about it, Name says it more closely.
	Kind string
	Name string
	// Spec is JSON to be written byte by byte.
	Spec string
	// Revision replaces that of the object unless it is empty.
	Revision string
}

// OddRegistrations returns what other writers may put in place of a registration, in order of
// Kind.
func OddRegistrations(sound Registration) []OddRegistration {
	nested := strings.Repeat("[", oddNesting) + strings.Repeat("]", oddNesting)
	whole := specWith(sound, "", "")
	odd := []OddRegistration{
		{Kind: "deep nesting", Name: "spec", Spec: nested},
		{Kind: "deep nesting", Name: "address", Spec: specWith(sound, "address", nested)},
		{Kind: "a revision that is too large", Name: "65 bits", Spec: whole, Revision: "18446744073709551616"},
		{Kind: "a revision that is too large", Name: "exponent", Spec: whole, Revision: "1e400"},
	}
	add := func(kind, field string, values ...string) {
		for _, value := range values {
			odd = append(odd, OddRegistration{Kind: kind, Name: field + " " + value, Spec: specWith(sound, field, value)})
		}
	}
	host, _, _ := strings.Cut(sound.Address, ":")
	for _, port := range []string{"0", "70000", "-1", "http", ""} {
		add("a port out of range", "address", strconv.Quote(host+":"+port))
	}
	add("a value out of range", "slots", "99999999999999999999", "1e400", "0.5", `"8"`)
	add("a value out of range", "sequence", "9223372036854775808")
	add("a value out of range", "state", `"resting"`)
	for _, field := range []string{"service", "address", "zone", "state", "born"} {
		add("a missing field", field, "")
	}
	for _, spec := range []string{`"text"`, `[1]`, `null`, `true`, `1e400`} {
		odd = append(odd, OddRegistration{Kind: "a spec that is no object", Name: spec, Spec: spec})
	}
	return odd
}

// specWith returns a registration with another value of a field, or without the field if the
// value is empty.
func specWith(sound Registration, field, value string) string {
	encoded, _ := json.Marshal(sound)
	var fields map[string]json.RawMessage
	_ = json.Unmarshal(encoded, &fields)
	delete(fields, field)
	encoded, _ = json.Marshal(fields)
	if value == "" {
		return string(encoded)
	}
	return fmt.Sprintf("%s,%q:%s}", strings.TrimSuffix(string(encoded), "}"), field, value)
}
