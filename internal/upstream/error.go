package upstream

import (
	"errors"
	"fmt"
)

// ErrorKind classifies a failed call by whether the endpoint can have received
// the request.
type ErrorKind string

// The kinds of error that a Pool reports.
const (
	// NotSent means that no byte of the request was sent, so that it has not run.
	NotSent ErrorKind = "not_sent"
	// Lost means that the request may have been sent and no complete answer was
	// received.
	Lost ErrorKind = "lost"
	// Mismatched means that the answer does not carry the ID of the request. The
	// request may have run.
	Mismatched ErrorKind = "garbled"
	// Canceled means that the context ended before the head of the answer was
	// read.
	Canceled ErrorKind = "canceled"
)

// Error is the error type of this package.
type Error struct {
	// Op is "connect" or "exchange".
	Op string
	// Address is the address of the endpoint.
	Address string
	Kind    ErrorKind
	// Err is the cause.
	Err error
}

// Error implements error.
func (er *Error) Error() string {
	return fmt.Sprintf("upstream: %s %s: %s: %v", er.Op, er.Address, er.Kind, er.Err)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// KindOf returns the kind of an *Error. For any other error it returns Lost, since
// the request may have been sent.
func KindOf(err error) ErrorKind {
	var er *Error
	if errors.As(err, &er) {
		return er.Kind
	}
	return Lost
}
