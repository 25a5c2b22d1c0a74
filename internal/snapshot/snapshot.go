// Package snapshot publishes immutable values to many readers without locking.
//
// # Usage
//
//	var ho snapshot.Holder[kind.Configuration]
//	ho.Store(next)        // by the one controller that owns the value
//	current := ho.Load()  // by any request, one atomic read
//
// A reader uses one loaded value for as long as it needs a consistent view. A
// writer never changes a value that it has published.
package snapshot

import "sync/atomic"

// Holder holds the newest published value. The zero Holder holds none. It is safe
// for concurrent use.
type Holder[T any] struct {
	current atomic.Pointer[T]
}

// Load returns the newest value, or nil if none has been published.
func (ho *Holder[T]) Load() *T { return ho.current.Load() }

// Store publishes a value. The caller must not change the value afterwards.
func (ho *Holder[T]) Store(value *T) { ho.current.Store(value) }

// Advance publishes next if there is no current value or newer reports that next
// comes after it. It returns whether next was published. Concurrent calls never
// replace a value with an older one.
func (ho *Holder[T]) Advance(next *T, newer func(next, current *T) bool) bool {
	for {
		current := ho.current.Load()
		if current != nil && !newer(next, current) {
			return false
		}
		if ho.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
