package relay

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertstall.example/filbertstall/internal/loadshare"
)

const (
	// maxAsked is the number of candidates of its own zone that an instance asks
	// for their status at once, and maxAskedAtOnce the number of calls at a time.
	maxAsked       = 11
	maxAskedAtOnce = 16
	// statusTimeout is how long an instance waits for a status.
	statusTimeout = 300 * time.Millisecond
)

// source is an instance that was asked for its status.
type source struct {
	member loadshare.Member
	status Status
	err    error
}

// isFresh reports whether the source is worth following.
func (so source) isFresh() bool { return so.err == nil && so.status.check() == nil }

// search asks the first candidates of this zone for their status, and the first one
// of each other zone if the search is wide. It passes to the election who answered, and
// the one that is the closest to the store among those worth following. An instance
// of this zone is preferred.
func (sw *Switch) search(ctx context.Context) {
	asked := slices.DeleteFunc(sw.candidates(), func(me loadshare.Member) bool { return me.Name == sw.Self.Name })
	asked = asked[:min(len(asked), maxAsked)]
	if sw.el.searchesWide() {
		asked = append(asked, readersOf(sw.Members.List(), sw.Self, sw.Alive)...)
	}
	answers := sw.askAll(ctx, asked)
	ev := event{kind: searched}
	for _, so := range answers {
		switch {
		case so.member.Zone != sw.Self.Zone:
		case so.err != nil:
			ev.silent = append(ev.silent, so.member.Name)
		case errors.Is(so.status.check(), errUnable):
			sw.Log.noteFailure()
			ev.unable = append(ev.unable, so.member.Name)
		default:
			ev.able = append(ev.able, so.member.Name)
			ev.trying = ev.trying || so.status.Direct
		}
	}
	fresh := slices.DeleteFunc(answers, func(so source) bool { return !so.isFresh() || sw.el.distrusts(so.status.Reader, sw.Clock.Now()) })
	if len(fresh) > 0 {
		best := slices.MinFunc(fresh, func(a, b source) int {
			return cmp.Or(cmp.Compare(a.status.Hops, b.status.Hops), cmp.Compare(sw.distance(a), sw.distance(b)))
		})
		ev.found, ev.foundReader = sw.readerBehind(best).Name, best.status.Direct && best.member.Zone == sw.Self.Zone
	}
	if ctx.Err() == nil {
		sw.handle(ev)
	}
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

// askAll asks the given instances for their status.
func (sw *Switch) askAll(ctx context.Context, asked []loadshare.Member) []source {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := make([]source, len(asked))
	var eg errgroup.Group
	eg.SetLimit(maxAskedAtOnce)
	for ix, me := range asked {
		answers[ix].member = me
		eg.Go(func() error {
			answers[ix].err = sw.call(ctx, me, statusTimeout, "Status", None{}, &answers[ix].status)
			return nil
		})
	}
	_ = eg.Wait()
	return answers
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
