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

	"golang.org/x/sync/errgroup"
)

// Controller is one background loop. Run returns nil or context.Canceled when ctx
// is canceled. Any other error stops the process. Name identifies the controller
// in that error.
type Controller interface {
	Name() string
	Run(ctx context.Context) error
}

// Group runs controllers concurrently.
type Group struct {
	Controllers []Controller
}

// Run runs all controllers until ctx ends or one of them fails. If one fails, Run
// stops the others and returns its error. Cancellation is not an error.
func (gr *Group) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	for _, co := range gr.Controllers {
		eg.Go(func() error {
			err := co.Run(ctx)
			if err == nil || errors.Is(err, context.Canceled) {
				return nil
			}
			return fmt.Errorf("controller %s: %w", co.Name(), err)
		})
	}
	return eg.Wait()
}
