// Package controller runs the background loops of a process, such as those that
// maintain its configuration, members and leases. A controller is the only
// writer of its state and publishes snapshots of it in a snapshot.Holder, which
// requests only read.
//
// # Usage
//
//	gr := controller.Group{Controllers: []controller.Controller{watcher, members}}
//	err := gr.Run(ctx) // returns when ctx ends or one controller fails
package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// Controller is one background loop. Run returns nil or context.Canceled when ctx
// is canceled. Any other error stops the process. After a panic, Run is called again.
// Name identifies the controller in that error.
type Controller interface {
	Name() string
	Run(ctx context.Context) error
}

// Group runs controllers concurrently.
type Group struct {
	Controllers []Controller
	// OnPanic is called with the name of a controller that panicked, and the cause.
	// It may be nil.
	OnPanic func(name string, cause any)
}

// restartDelay is the pause after a panic of a controller. One unexpected value from
// outside must not end the process.
const restartDelay = 500 * time.Millisecond

// errPanicked means that a controller panicked.
var errPanicked = errors.New("controller: panic")

// runOnce runs a controller until it returns or panics.
func (gr *Group) runOnce(ctx context.Context, co Controller) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errPanicked
			if gr.OnPanic != nil {
				gr.OnPanic(co.Name(), cause)
			}
		}
	}()
	return co.Run(ctx)
}

// run runs a controller, again after each panic, until it returns or ctx ends.
func (gr *Group) run(ctx context.Context, co Controller) error {
	for {
		err := gr.runOnce(ctx, co)
		if !errors.Is(err, errPanicked) {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartDelay):
		}
	}
}

// Run runs all controllers until ctx ends or one of them fails. If one fails, Run
// stops the others and returns its error. Cancellation is not an error.
func (gr *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	for _, co := range gr.Controllers {
		eg.Go(func() error {
			err := gr.run(ctx, co)
			if err == nil || errors.Is(err, context.Canceled) {
				return nil
			}
			return fmt.Errorf("controller %s: %w", co.Name(), err)
		})
	}
	return eg.Wait()
}
