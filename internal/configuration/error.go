package configuration

import (
	"errors"
	"fmt"
)

// ErrorKind classifies a failure to read or write a bundle.
type ErrorKind string

// The kinds of error that this package reports.
const (
	// Conflict means that the head has changed since it was read, or that the time
	// for publishing ended before the head was sent. The head was not written,
	// unless an earlier attempt of the same call with an unknown outcome took
	// effect.
	Conflict ErrorKind = "moved"
	// Damaged means that a head or shard cannot be decoded, or that a shard
	// does not match the hash it is named by.
	Damaged ErrorKind = "damaged"
	// Incomplete means that a shard named by the head is missing, or that the
	// instance has no bundle yet.
	Incomplete ErrorKind = "incomplete"
	// Unsettled means that it is unknown whether the write of the head took
	// effect.
	Unsettled ErrorKind = "unsettled"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation, for example "publish".
	Op   string
	Kind ErrorKind
	// Err is the cause, or nil.
	Err error
}

// Error implements error.
func (er *Error) Error() string {
	if er.Err == nil {
		return fmt.Sprintf("configuration: %s: %s", er.Op, er.Kind)
	}
	return fmt.Sprintf("configuration: %s: %s: %v", er.Op, er.Kind, er.Err)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// IsKind reports whether err is or wraps an Error of that kind.
func IsKind(err error, ki ErrorKind) bool {
	var er *Error
	return errors.As(err, &er) && er.Kind == ki
}
