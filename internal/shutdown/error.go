package shutdown

import "errors"

// ErrorKind is why a request is not served.
type ErrorKind string

// The kinds of error. Both are causes of canceled contexts.
const (
	// NoTime means that the answer would not be whole before the end of the shutdown.
	NoTime ErrorKind = "no_time"
	// Ended means that the request was in progress at the end of the shutdown.
	Ended ErrorKind = "ended"
)

// Error is the error type of this package.
type Error struct {
	// Op is "wait" or "serve".
	Op   string
	Kind ErrorKind
}

// Error implements error.
func (er *Error) Error() string { return "shutdown: " + er.Op + ": " + string(er.Kind) }

// ErrEnded is the cause with which the requests in progress at the end are canceled.
var ErrEnded error = &Error{Op: "serve", Kind: Ended}

var errNoTime error = &Error{Op: "wait", Kind: NoTime}

// IsCause reports whether the cause of a canceled context is a shutdown.
func IsCause(cause error) bool {
	var er *Error
	return errors.As(cause, &er)
}
