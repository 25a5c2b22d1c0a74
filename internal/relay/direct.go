package relay

import (
	"context"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/pause"
)

const (
	// directCheckInterval is the interval at which a reader checks whether it can
	// go on.
	directCheckInterval = 100 * time.Millisecond
	// firstAnswerTimeout is how long a new reader waits for the store's first
	// answer.
	firstAnswerTimeout = 1300 * time.Millisecond
	// maxFailures is the number of failed calls in a row after which a reader
	// stops reading, provided that they failed over at least failingTime and the
	// store's last confirmation is older than failedConfirmationAge. A reader that
	// the store rejects notices that sooner than one that gets no answer. One
	// call may fail because its connection was reset.
	maxFailures           = 2
	failingTime           = 400 * time.Millisecond
	failedConfirmationAge = 1500 * time.Millisecond
	// maxReaderAge is the age of the store's last confirmation beyond which a
	// reader stops. A store that answers slowly confirms every 1.4 s what was
	// in force when it was asked, so that ages reach twice that.
	maxReaderAge = 2800 * time.Millisecond
	// maxSilence is how long a reader waits for the end of a call, after which it
	// gives up. The store holds it for a second.
	maxSilence = 1700 * time.Millisecond
	// replacedInterval is the interval at which a reader that is not the first
	// candidate asks those before it whether they read the store, and
	// firstReplacedCheck the time until it does so at first: two candidates may have
	// begun at about the same time.
	replacedInterval   = 3 * time.Second
	firstReplacedCheck = 500 * time.Millisecond
)

// readDirectly follows the store until the store does not answer any more, or
// a candidate that comes before this instance reads it.
func (sw *Switch) readDirectly(ctx context.Context) {
	sw.Log.setRole(role{direct: true})
	sw.Log.forgetFailures()
	sw.Log.observeSilence()
	sw.Logger.Info().Str("event", "reading_store").Msg("relay: reading the store for this zone")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		gr := controller.Group{Controllers: append([]controller.Controller{sw.Configuration}, sw.delayed()...), OnPanic: sw.OnPanic}
		if err := gr.Run(ctx); err != nil {
			sw.Logger.Error().Str("event", "store_not_followed").Err(err).Msg("relay: controllers that follow the store stopped with an error")
		}
	}()
	ev := sw.awaitReplacement(ctx)
	if ev.kind == storeLost {
		sw.Log.noteFailure()
		age, _ := sw.State.Age()
		sw.Logger.Info().Str("event", "store_not_readable").Dur("age", age).Msg("relay: the store does not answer; leaving it to the next candidate of the zone")
	}
	sw.Log.setRole(role{unable: ev.kind == storeLost})
	cancel()
	<-done
	if ev.kind != storeAnswered {
		sw.handle(ev)
	}
}

// awaitReplacement waits until this instance no longer reads the store for its
// zone, and returns the event that is the reason: the store does not answer, or a
// candidate before this one reads it. It returns storeAnswered if ctx ends.
func (sw *Switch) awaitReplacement(ctx context.Context) event {
	begun, beganAt := sw.Clock.Now(), sw.Boot.Now()
	asked := begun.Add(firstReplacedCheck - replacedInterval)
	for ctx.Err() == nil {
		sw.pause(ctx, directCheckInterval)
		sw.Log.checkDoubt()
		answered := sw.confirmedSince(beganAt)
		if sw.isUnable(answered, sw.Clock.Since(begun)) {
			return event{kind: storeLost, answered: answered}
		}
		if answered {
			sw.handle(event{kind: storeAnswered})
		}
		if sw.Clock.Since(asked) < replacedInterval {
			continue
		}
		asked = sw.Clock.Now()
		if before, found := sw.readerBefore(ctx); found {
			return event{kind: replaced, name: before.Name}
		}
	}
	return event{kind: storeAnswered}
}

// isUnable reports whether the store does not answer this instance. It has read
// the store for the given time, and answered reports whether it got any answer.
func (sw *Switch) isUnable(answered bool, reading time.Duration) bool {
	age, _ := sw.State.Age()
	return storeFails(answered, reading, age, sw.Log.configurationCalls())
}

// storeFails reports whether a reader gives up: it has read the store for the time
// reading, and its confirmation has this age.
func storeFails(answered bool, reading, age time.Duration, ca calls) bool {
	fails := ca.failures >= maxFailures && ca.failing >= failingTime
	if !answered {
		return fails || reading > firstAnswerTimeout
	}
	return age > maxReaderAge || ca.silent > maxSilence || fails && age > failedConfirmationAge
}

// readerBefore returns a candidate that comes before this one and reads the
// store, too.
func (sw *Switch) readerBefore(ctx context.Context) (loadshare.Member, bool) {
	list := sw.candidates()
	before := slices.IndexFunc(list, func(me loadshare.Member) bool { return me.Name == sw.Self.Name })
	for _, so := range sw.askAll(ctx, list[:before]) {
		if so.isFresh() && so.status.Direct {
			return so.member, true
		}
	}
	return loadshare.Member{}, false
}

// delayed wraps the other controllers so that they start once the store has
// confirmed the configuration. During an outage of the store only one
// controller calls it.
func (sw *Switch) delayed() []controller.Controller {
	begun := sw.Boot.Now()
	list := make([]controller.Controller, 0, len(sw.Others))
	for _, co := range sw.Others {
		list = append(list, &delayed{Controller: co, ready: func() bool { return sw.confirmedSince(begun) }, sw: sw})
	}
	return list
}

// delayed is a controller that starts once ready returns true.
type delayed struct {
	controller.Controller
	ready func() bool
	sw    *Switch
}

// delayedPollInterval is the interval at which delayed calls ready.
const delayedPollInterval = 20 * time.Millisecond

// Run implements controller.Controller.
func (de *delayed) Run(ctx context.Context) error {
	for !de.ready() {
		pause.For(ctx, de.sw.Clock, delayedPollInterval)
		if ctx.Err() != nil {
			return nil
		}
	}
	return de.Controller.Run(ctx)
}
