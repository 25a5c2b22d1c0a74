package platform

import (
	"context"
	"errors"
	"fmt"
)

// MaxValueBytes is the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// Object is a stored value with its key and version.
type Object struct {
	Key string `json:"key"`
	// Version is the revision of the store at the last change of the object. The
	// revision increases with each change of any object. Zero means that the
	// object does not exist.
	Version int64 `json:"version"`
	// Value is the content, base64 in JSON.
	Value []byte `json:"value,omitempty"`
	// Deleted marks the deletion of the object in the result of a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// Listing is a consistent set of objects at one revision of the store.
type Listing struct {
	// Revision is the revision of the store at which the listing was read. A
	// watch that starts after this revision returns every later change.
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects"`
}

// InstanceState is the state of an entry instance as the platform reports it.
type InstanceState string

// The states of an instance in the platform's list, which may be stale.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's list of instances.
type Instance struct {
	Name  string        `json:"name"`
	Zone  string        `json:"zone"`
	State InstanceState `json:"state"`
	// Peer is the IP address and port of the instance's peer listener.
	Peer string `json:"peer"`
}

// Store is the platform's object API.
type Store interface {
	// Get returns an object, or an error of kind NotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) (Listing, error)
	// Update writes value if the object's version is previous; zero means
	// that the object must not exist. It returns the new version.
	Update(ctx context.Context, key string, previous int64, value []byte) (int64, error)
	// Delete removes the object if its version is previous.
	Delete(ctx context.Context, key string, previous int64) error
	// Watch waits for changes after the given revision to objects whose keys
	// begin with prefix. It returns them in order, or an empty listing when the
	// platform's own time limit for a watch has passed.
	Watch(ctx context.Context, prefix string, after int64) (Listing, error)
	// Instances returns the list of live and leaving instances, which may be
	// stale.
	Instances(ctx context.Context) ([]Instance, error)
}

// ErrorKind is the class of a failed call. It tells the caller whether the call
// may have taken effect and whether a retry is useful.
type ErrorKind string

// The kinds of error that this package reports.
const (
	// NotFound means that the object does not exist.
	NotFound ErrorKind = "not_found"
	// Conflict means that the object has another version and that the write did
	// not take effect.
	Conflict ErrorKind = "conflict"
	// Unavailable means that a read got no usable response, or that a write was
	// not sent or not accepted and had no effect.
	Unavailable ErrorKind = "unavailable"
	// Unknown means that the response to a write was lost. The write may have
	// taken effect or may still do so.
	Unknown ErrorKind = "unknown"
	// Rejected means that the platform refuses the call and that a retry would
	// fail in the same way.
	Rejected ErrorKind = "rejected"
)

// Error is the error type of this package.
type Error struct {
	// Op is the name of the call, for example "update".
	Op string
	// Key is the key of the object, or the prefix of a list or watch.
	Key  string
	Kind ErrorKind
	// Err is the underlying error, or nil if there is none.
	Err error
}

// Error implements error.
func (er *Error) Error() string {
	if er.Err == nil {
		return fmt.Sprintf("platform: %s %s: %s", er.Op, er.Key, er.Kind)
	}
	return fmt.Sprintf("platform: %s %s: %s: %v", er.Op, er.Key, er.Kind, er.Err)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// IsKind reports whether err is or wraps an Error of that kind.
func IsKind(err error, ki ErrorKind) bool {
	var er *Error
	return errors.As(err, &er) && er.Kind == ki
}
