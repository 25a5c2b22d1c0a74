package lease

import (
	"errors"
	"fmt"
)

// ErrorKind is the cause of a failed operation on a lease.
type ErrorKind string

// The kinds of error that this package reports.
const (
	// Unavailable means that the platform did not complete the read or write.
	Unavailable ErrorKind = "unavailable"
	// Taken means that another instance wrote the lease first.
	Taken ErrorKind = "taken"
	// Malformed means that the stored value is not a valid Record.
	Malformed ErrorKind = "malformed"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation: "read", "take", "renew" or "release".
	Op   string
	Key  string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (er *Error) Error() string {
	return fmt.Sprintf("lease: %s %s: %s: %v", er.Op, er.Key, er.Kind, er.Err)
}

// Unwrap returns Err.
func (er *Error) Unwrap() error { return er.Err }

// IsKind reports whether err is an Error of this kind.
func IsKind(err error, ki ErrorKind) bool {
	var er *Error
	return errors.As(err, &er) && er.Kind == ki
}
