package kind

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// ErrorKind classifies the check that a value failed.
type ErrorKind string

// The kinds of error that this package reports.
const (
	// Missing means that a required field is empty.
	Missing ErrorKind = "missing"
	// Invalid means that a field holds a value that is not allowed.
	Invalid ErrorKind = "invalid"
	// Dangling means that a reference names an object that does not exist.
	Dangling ErrorKind = "dangling"
	// Duplicate means that two objects of one kind share a name, a token, or a
	// model within one half.
	Duplicate ErrorKind = "duplicate"
	// Malformed means that the data is not valid JSON for the type.
	Malformed ErrorKind = "malformed"
)

// Error is the error type of this package.
type Error struct {
	// Op is the type of the object that was checked, for example "team".
	Op string
	// Name is the name of the object. It is empty if the object has none, and for
	// kind Malformed.
	Name string
	// Field is the JSON name of the invalid field. It is "json" for kind
	// Malformed.
	Field string
	Kind  ErrorKind
	// Detail describes the error and the allowed values.
	Detail string
}

// Error implements error.
func (er *Error) Error() string {
	if er.Name == "" {
		return fmt.Sprintf("%s: %s: %s: %s", er.Op, er.Field, er.Kind, er.Detail)
	}
	return fmt.Sprintf("%s %q: %s: %s: %s", er.Op, er.Name, er.Field, er.Kind, er.Detail)
}

func checkName(op, name string) error {
	if name == "" {
		return &Error{Op: op, Field: "name", Kind: Missing, Detail: "must not be empty"}
	}
	if len(name) > maxNameBytes {
		return &Error{Op: op, Name: name[:maxNameBytes], Field: "name", Kind: Invalid, Detail: "must be at most 63 bytes"}
	}
	for _, ch := range []byte(name) {
		if !isNameByte(ch) {
			return &Error{Op: op, Name: name, Field: "name", Kind: Invalid, Detail: "allowed are a-z, 0-9 and hyphen"}
		}
	}
	return nil
}

const maxNameBytes = 63

func isNameByte(ch byte) bool {
	return ch == '-' || (ch >= 'a' && ch <= 'z') || (ch >= '0' && ch <= '9')
}

// replaceable returns the list into which a JSON object is decoded: a copy of the current one, or
// none if the object has the field. The decoder would take what the elements of a new list leave
// out from the elements in the same places of the current one.
func replaceable[T any](current []T, data []byte, field string) []T {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return nil
	}
	for name := range fields {
		if strings.EqualFold(name, field) {
			return nil
		}
	}
	return slices.Clone(current)
}

func decode(op string, data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return &Error{Op: op, Field: "json", Kind: Malformed, Detail: err.Error()}
	}
	return nil
}
