package setting

import "filbertstall.example/filbertstall/internal/document"

// Fault is one error in a settings file.
type Fault = document.Fault

// Faults holds all errors in a settings file, in the order of their lines.
type Faults = document.Faults

// Parse decodes and validates the content of a settings file. Fields that are
// absent keep the values of Default. The file name is used in faults only. An
// error is of type Faults.
func Parse(file string, data []byte) (Settings, error) {
	se := Default()
	de := document.Decoder{File: file, Root: "settings", Noun: "a setting"}
	so, err := de.Decode(data, &se)
	if err != nil {
		return se, err
	}
	for _, ru := range se.rules() {
		if !ru.ok {
			so.Add(ru.field, ru.problem)
		}
	}
	return se, so.Err()
}
