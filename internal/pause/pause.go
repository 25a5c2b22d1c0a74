// Package pause waits for a time that a context can end.
//
// # Usage
//
//	pause.For(ctx, clock, 200*time.Millisecond)
package pause

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// For waits until the time is over or ctx ends.
func For(ctx context.Context, clock clockwork.Clock, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(wait):
	}
}
