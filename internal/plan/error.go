package plan

import (
	"errors"
	"fmt"
)

// ErrorKind classifies why an operation on a plan failed.
type ErrorKind string

// The kinds of error that this package reports.
const (
	// Invalid means that the intent cannot be parsed or applied, or that it
	// changes nothing.
	Invalid ErrorKind = "invalid"
	// Unknown means that there is no such plan, or that its object cannot be
	// decoded.
	Unknown ErrorKind = "unknown"
	// Conflict means that the plan is in a terminal state, or that it was refused
	// because the configuration changed or another plan locks one of its objects.
	Conflict ErrorKind = "conflict"
	// Unavailable means that the operation can be tried again later: the platform
	// does not answer or shows an older configuration than the one in force, this
	// instance does not know the other members yet, or concurrent writers came
	// first on every attempt.
	Unavailable ErrorKind = "unavailable"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation, for example "confirm".
	Op   string
	Plan string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (er *Error) Error() string {
	return fmt.Sprintf("plan: %s %s: %s: %v", er.Op, er.Plan, er.Kind, er.Err)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// IsKind reports whether err is an *Error of the given kind.
func IsKind(err error, ki ErrorKind) bool {
	var er *Error
	return errors.As(err, &er) && er.Kind == ki
}
