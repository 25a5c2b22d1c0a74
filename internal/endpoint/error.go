package endpoint

import (
	"errors"
	"fmt"
)

// ErrorKind classifies a failed request by what is known of its execution.
type ErrorKind string

// The kinds of error that this package reports.
const (
	// Unreachable means that no connection was established, so nothing was sent.
	Unreachable ErrorKind = "unreachable"
	// Refused means that the endpoint answered that it did not start the work.
	Refused ErrorKind = "refused"
	// Lost means that the request may have been sent, but no complete response
	// was received.
	Lost ErrorKind = "lost"
	// TimedOut means that no response arrived within the timeout of the request,
	// or that a stream made no progress within the idle timeout.
	TimedOut ErrorKind = "silent"
	// Gone means that the endpoint does not know the generation.
	Gone ErrorKind = "gone"
	// Failed means that the endpoint ran the request and failed, or that its
	// response is invalid, for example a line of more than streamBufferBytes.
	Failed ErrorKind = "failed"
	// Mismatched means that an event belongs to another generation or does not
	// have the expected offset.
	Mismatched ErrorKind = "crossed"
	// Fenced means that an order carried an outdated fencing token.
	Fenced ErrorKind = "fenced"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation, for example "generate".
	Op string
	// URL is the base address of the endpoint.
	URL  string
	Kind ErrorKind
	// Err is the cause, or nil.
	Err error
}

// Error implements error.
func (er *Error) Error() string {
	if er.Err == nil {
		return fmt.Sprintf("endpoint: %s %s: %s", er.Op, er.URL, er.Kind)
	}
	return fmt.Sprintf("endpoint: %s %s: %s: %v", er.Op, er.URL, er.Kind, er.Err)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// IsKind reports whether err is or wraps an Error of that kind.
func IsKind(err error, ki ErrorKind) bool {
	var er *Error
	return errors.As(err, &er) && er.Kind == ki
}
