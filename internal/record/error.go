package record

import (
	"errors"
	"fmt"
)

// ErrorKind classifies why a change was not recorded or an entry not read.
type ErrorKind string

// The kinds of error that this package reports.
const (
	// Unavailable means that no attempt to read or write the shard succeeded in
	// time, or that a segment could not be read. The platform may have failed to
	// answer, or an object in it may be corrupt.
	Unavailable ErrorKind = "unavailable"
	// Full means that the shard has no room for the entry or its answer.
	Full ErrorKind = "full"
	// Corrupt means that a stored object cannot be decoded or is not consistent.
	Corrupt ErrorKind = "corrupt"
	// Gone means that the entry no longer exists, or was written by another
	// owner.
	Gone ErrorKind = "gone"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, for example "begin".
	Op   string
	Kind ErrorKind
	// Err is the cause. It may be nil.
	Err error
}

// Error implements error.
func (er *Error) Error() string {
	if er.Err == nil {
		return fmt.Sprintf("record: %s: %s", er.Op, er.Kind)
	}
	return fmt.Sprintf("record: %s: %s: %v", er.Op, er.Kind, er.Err)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// IsKind reports whether err is or wraps an *Error of that kind.
func IsKind(err error, ki ErrorKind) bool {
	var er *Error
	return errors.As(err, &er) && er.Kind == ki
}
