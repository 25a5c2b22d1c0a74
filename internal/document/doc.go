// Package document decodes files that are written by hand, in JSON with
// comments. Unknown fields, duplicate fields and wrong types are errors, and
// each error is reported with its line.
//
// # Usage
//
//	de := document.Decoder{File: "entry.hujson", Root: "settings", Noun: "a setting"}
//	so, err := de.Decode(data, &into) // Faults: file:line: field: problem
//	if err != nil { return err }
//	so.Add("limits.timeout", "must be above 0s")
//	err = so.Err()
//
// A type that stores its JSON undecoded for later implements Shaped. Its method
// Shape returns the type that the JSON is checked against.
package document
