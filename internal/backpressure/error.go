package backpressure

import (
	"errors"
	"fmt"
	"time"
)

// ErrorKind is why a call may not be sent.
type ErrorKind string

// The kinds of error that a Gate reports. None of these calls was sent.
const (
	// Paused means that the endpoint wants no calls from this instance for some
	// time.
	Paused ErrorKind = "paused"
	// Limited means that the endpoint's rate limit is reached.
	Limited ErrorKind = "limited"
	// Full means that all slots of a brittle endpoint are taken.
	Full ErrorKind = "full"
	// Left means that the endpoint has been removed, or is leaving.
	Left ErrorKind = "left"
	// Expired means that the permit is no longer valid, for example because the
	// process was paused since.
	Expired ErrorKind = "expired"
	// NoPermit means that a call was to be sent without a permit, or with one that
	// had been used.
	NoPermit ErrorKind = "no_permit"
)

// Error is the error type of this package.
type Error struct {
	// Op is "request", "probe" or "send".
	Op       string
	Endpoint string
	Kind     ErrorKind
	// After is the time after which it is worth trying again. Zero means that it is
	// not known, or that a new permit can be had at once.
	After time.Duration
}

// Error implements error.
func (er *Error) Error() string {
	return fmt.Sprintf("backpressure: %s to %s: %s", er.Op, er.Endpoint, er.Kind)
}

// IsRefused reports whether err means that a call was not sent because its endpoint
// must not get it now.
func IsRefused(err error) bool {
	var er *Error
	return errors.As(err, &er)
}
