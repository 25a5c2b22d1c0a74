package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertstall.example/filbertstall/internal/loadshare"
)

const (
	// maxAsked is the number of candidates of its own zone that an instance asks
	// for their status at once, and maxAskedAtOnce the number of calls at a time.
	maxAsked       = 8
	maxAskedAtOnce = 4
	// statusTimeout is how long an instance waits for a status.
	statusTimeout = 300 * time.Millisecond
)

// source is an instance that may be followed, and its status.
type source struct {
	member loadshare.Member
	status Status
}

// findFresh asks the first candidates of this zone and the first one of each
// other zone for their status, and returns the one that is the closest to the
// store among those worth following. An instance of this zone is preferred.
func (sw *Switch) findFresh(ctx context.Context) (loadshare.Member, bool) {
	asked := slices.DeleteFunc(sw.candidates(), func(me loadshare.Member) bool { return me.Name == sw.Self.Name })
	asked = asked[:min(len(asked), maxAsked)]
	asked = append(asked, readersOf(sw.Members.List(), sw.Self, sw.Alive)...)
	fresh := sw.askAll(ctx, asked)
	if len(fresh) == 0 {
		return loadshare.Member{}, false
	}
	best := slices.MinFunc(fresh, func(a, b source) int {
		return cmp.Or(cmp.Compare(a.status.Hops, b.status.Hops), cmp.Compare(sw.distance(a), sw.distance(b)))
	})
	return sw.readerBehind(best), true
}

// AdoptNewest brings the newest configuration into force that readers of other zones
// have. A store that was restored from an older copy may lack it.
func (sw *Switch) AdoptNewest(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var eg errgroup.Group
	eg.SetLimit(maxAskedAtOnce)
	for _, me := range readersOf(sw.Members.List(), sw.Self, sw.Alive) {
		eg.Go(func() error {
			// A reader that does not answer is cut off, or knows as little as this instance.
			_ = sw.fetchFromReader(ctx, me)
			return nil
		})
	}
	_ = eg.Wait()
}

// distance is 0 for an instance of this zone and 1 for one of another zone.
func (sw *Switch) distance(so source) int {
	if so.member.Zone == sw.Self.Zone {
		return 0
	}
	return 1
}

// askAll returns those of the given instances that answer and are worth
// following.
func (sw *Switch) askAll(ctx context.Context, asked []loadshare.Member) []source {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := make([]source, len(asked))
	var eg errgroup.Group
	eg.SetLimit(maxAskedAtOnce)
	for ix, me := range asked {
		answers[ix] = source{member: me, status: Status{ConfigurationAge: unknownAge}}
		eg.Go(func() error {
			return sw.call(ctx, me, "Status", None{}, &answers[ix].status)
		})
	}
	_ = eg.Wait()
	return slices.DeleteFunc(answers, func(so source) bool {
		return so.status.check() != nil || so.status.Reader == sw.Self.Name
	})
}

// readerBehind returns the instance that reads the store for a source in another
// zone, so that the followers of two zones don't follow each other. Without such
// an instance it returns the source itself.
func (sw *Switch) readerBehind(so source) loadshare.Member {
	if so.member.Zone == sw.Self.Zone || so.status.Reader == "" {
		return so.member
	}
	list := sw.Members.List()
	if ix := slices.IndexFunc(list, func(me loadshare.Member) bool { return me.Name == so.status.Reader }); ix >= 0 {
		return list[ix]
	}
	return so.member
}
