package allocation

import (
	"errors"
	"fmt"
)

// ErrorKind classifies why a call to another instance failed.
type ErrorKind string

// The kinds of error that this package reports.
const (
	// NotHolder means that the called instance does not hold the lease of the
	// group, or that no lease holder is known.
	NotHolder ErrorKind = "not_holder"
	// Stale means that the holder has already processed a newer message of the
	// same instance, so that this one had no effect.
	Stale ErrorKind = "stale"
	// NoAnswer means that the holder could not be reached, did not answer in
	// time, or answered too late for the grant to be used. It also means that
	// no call was made because the instance is disconnected from the holder.
	NoAnswer ErrorKind = "no_answer"
)

// Error is the error type of this package.
type Error struct {
	// Op is the name of the call, for example "acquire".
	Op    string
	Group Group
	Kind  ErrorKind
	Err   error
}

// Error implements error.
func (er *Error) Error() string {
	return fmt.Sprintf("allocation: %s %s: %s: %v", er.Op, er.Group, er.Kind, er.Err)
}

// Unwrap returns the underlying error.
func (er *Error) Unwrap() error { return er.Err }

// IsKind reports whether err is or wraps an Error of kind ki.
func IsKind(err error, ki ErrorKind) bool {
	var er *Error
	return errors.As(err, &er) && er.Kind == ki
}
