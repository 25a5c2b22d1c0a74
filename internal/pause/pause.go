// Package pause provides a sleep that a context can interrupt.
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

// For blocks for the duration wait or until ctx ends.
func For(ctx context.Context, clock clockwork.Clock, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(wait):
	}
}
