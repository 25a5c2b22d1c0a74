package allocation

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/platform"
)

// membersInterval is the time between two reads of the platform's list of
// instances.
const membersInterval = time.Second

// Poller implements Members by polling the platform's list of instances. While
// the platform does not answer, it serves the last list that it read. The
// fields must be set before Run.
type Poller struct {
	Store platform.Store
	Clock clockwork.Clock

	list atomic.Pointer[[]platform.Instance]
}

// Name implements controller.Controller.
func (po *Poller) Name() string { return "members" }

// Members implements Members. It returns nil until the first list has been
// read.
func (po *Poller) Members() []platform.Instance {
	if list := po.list.Load(); list != nil {
		return slices.Clone(*list)
	}
	return nil
}

// Run polls the list until ctx ends.
func (po *Poller) Run(ctx context.Context) error {
	for {
		if list, err := po.Store.Instances(ctx); err == nil {
			po.list.Store(&list)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-po.Clock.After(membersInterval):
		}
	}
}
