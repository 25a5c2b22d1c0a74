// Package inquiry asks other instances, when a process starts, for what they know and
// the store does not have, or may have lost: the newest configuration, requests that
// crash endpoints, and what endpoints have said. Until it has ended, the process
// refuses requests.
//
// Few instances are asked, chosen at random, so that many processes that start together
// share the load. An instance that has just started itself knows nothing and says so;
// another one is asked instead of it.
//
// # Usage
//
//	in := &inquiry.Inquiry{Self: name, Members: members.List, Registered: known, Ask: ask, Clock: clock, Log: log}
//	err := in.Run(ctx) // a controller.Controller
//	if in.Ended() { ... }
package inquiry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/loadshare"
)

const (
	// firstAsked is the number of instances that are asked at once, and maxAsked that of
	// all that are asked if those fail or know nothing.
	firstAsked = 3
	maxAsked   = 8
	// enoughAnswers is the number of answers of instances that know something after
	// which no more are awaited.
	enoughAnswers = 2
	// hedgeInterval is the time without enough answers after which another instance is
	// asked.
	hedgeInterval = 50 * time.Millisecond
	// maxTime is the time after which the inquiry ends, with or without answers. Those
	// that come later are still used.
	maxTime = 250 * time.Millisecond
	// maxOutdatedTime is the time after which it ends although another instance has said
	// that it has a newer configuration, which could not be had.
	maxOutdatedTime = 2 * time.Second
	// outdatedInterval is the time between two checks for that configuration.
	outdatedInterval = 10 * time.Millisecond
)

// Inquiry is the controller that asks once. Set the exported fields before Run.
type Inquiry struct {
	// Self is the name of this instance.
	Self string
	// Members returns the registered instances, once Registered is closed.
	Members    func() []loadshare.Member
	Registered <-chan struct{}
	// Ask asks one instance for what it knows and takes that over. It reports whether the
	// instance had ended its own inquiry. The context ends after maxOutdatedTime.
	Ask func(ctx context.Context, me loadshare.Member) (informed bool, err error)
	// Outdated reports whether another instance has said that it has a newer configuration
	// than this one. Nil stands for never.
	Outdated func() bool
	Clock    clockwork.Clock
	Log      zerolog.Logger

	ended atomic.Bool
}

// answer is how one call of Ask ended.
type answer struct {
	informed bool
	err      error
}

// Name implements controller.Controller.
func (*Inquiry) Name() string { return "inquiry" }

// Ended reports whether this process knows what others know, as far as that can be
// found out.
func (in *Inquiry) Ended() bool { return in.ended.Load() }

// Run asks the others and waits until ctx ends.
func (in *Inquiry) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-in.Registered:
	}
	begun := in.Clock.Now()
	asking, cancel := clockwork.WithTimeout(ctx, in.Clock, maxOutdatedTime)
	defer cancel()
	others := in.others()
	asked, answered, informed := in.askUntilEnough(asking, others)
	in.awaitConfiguration(asking)
	in.ended.Store(true)
	in.Log.Info().Str("event", "peers_asked").Int("instances", len(others)).Int("asked", asked).Int("answered", answered).Int("informed", informed).
		Dur("took", in.Clock.Since(begun)).Msg("inquiry: asked other instances for what they know")
	<-ctx.Done()
	return nil
}

// others returns up to maxAsked other instances, in random order.
func (in *Inquiry) others() []loadshare.Member {
	var list []loadshare.Member
	for _, me := range in.Members() {
		if me.Name != in.Self {
			list = append(list, me)
		}
	}
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list[:min(len(list), maxAsked)]
}

// askUntilEnough asks the given instances until enough have answered that know
// something, all have, or maxTime is over. It returns how many were asked, answered and
// knew something.
func (in *Inquiry) askUntilEnough(ctx context.Context, others []loadshare.Member) (asked, answered, informed int) {
	answers := make(chan answer, len(others))
	askNext := func() {
		if asked == len(others) {
			return
		}
		me := others[asked]
		asked++
		go func() {
			known, err := in.Ask(ctx, me)
			answers <- answer{informed: known, err: err}
		}()
	}
	for range firstAsked {
		askNext()
	}
	bound := in.Clock.After(maxTime)
	hedge := in.Clock.NewTicker(hedgeInterval)
	defer hedge.Stop()
	for ended := 0; ended < asked && informed < enoughAnswers; {
		select {
		case <-ctx.Done():
			return asked, answered, informed
		case <-bound:
			return asked, answered, informed
		case <-hedge.Chan():
			askNext()
		case an := <-answers:
			ended++
			if an.err == nil {
				answered++
			}
			if an.informed {
				informed++
				continue
			}
			askNext()
		}
	}
	return asked, answered, informed
}

// awaitConfiguration waits while another instance is known to have a newer
// configuration, until ctx ends.
func (in *Inquiry) awaitConfiguration(ctx context.Context) {
	for in.Outdated != nil && in.Outdated() {
		select {
		case <-ctx.Done():
			return
		case <-in.Clock.After(outdatedInterval):
		}
	}
}
