package document

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one error in a file.
type Fault struct {
	File string
	Line int
	// Field is the path of the field, for example "peers[1].name". It is
	// Decoder.Root for the whole document, and "syntax" or "json" if no field can
	// be named.
	Field string
	// Problem describes the error and the allowed values.
	Problem string
}

// String returns the fault as file:line: field: problem.
func (fa Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", fa.File, fa.Line, fa.Field, fa.Problem)
}

// Faults holds all errors in a file, in the order of their lines.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, fa := range fs {
		lines = append(lines, fa.String())
	}
	return strings.Join(lines, "\n")
}

// Source maps the fields of a decoded file to their lines and collects faults.
type Source struct {
	file   string
	lines  map[string]int
	faults Faults
}

// Add records a fault of a field. The line is that of the field, or of the
// innermost enclosing object or list that the file contains, or else 1.
func (so *Source) Add(field, problem string) {
	so.add(field, so.lineOf(field), problem)
}

// Err returns the faults recorded so far in the order of their lines, as Faults,
// or nil if there are none.
func (so *Source) Err() error {
	if len(so.faults) == 0 {
		return nil
	}
	sort.SliceStable(so.faults, func(le, ri int) bool { return so.faults[le].Line < so.faults[ri].Line })
	return so.faults
}

func (so *Source) add(field string, line int, problem string) {
	so.faults = append(so.faults, Fault{File: so.file, Line: line, Field: field, Problem: problem})
}

func (so *Source) lineOf(field string) int {
	for field != "" {
		if line, found := so.lines[field]; found {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return 1
}
