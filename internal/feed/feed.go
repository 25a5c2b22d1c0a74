// Package feed follows the objects of one kind in a store: it lists them, then
// waits for changes from the listed revision on, and lists again when the
// store has dropped that history or was away.
//
// # Usage
//
//	fo := &feed.Follower[roster.Endpoint]{Source: so, Sink: si, Clock: clock, Boot: boot, Wait: 3 * time.Second, Log: log}
//	err := fo.Run(ctx) // a controller.Controller
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/pause"
)

// Object is one object of a kind. Value is nil if it could not be decoded.
type Object[T any] struct {
	Name  string
	Value *T
	Err   error
}

// Change is one change of an object.
type Change[T any] struct {
	Object  Object[T]
	Removed bool
}

// ErrHistoryGone is returned by Watch when the store no longer has the changes
// since a revision.
var ErrHistoryGone = errors.New("feed: the store dropped the history")

// Source reads one kind of objects.
type Source[T any] interface {
	// List returns all objects and the revision that they are as of.
	List(ctx context.Context) (list []Object[T], revision int64, err error)
	// Watch waits up to wait for changes after a revision. It returns them and
	// the revision to go on from, or ErrHistoryGone.
	Watch(ctx context.Context, revision int64, wait time.Duration) ([]Change[T], int64, error)
}

// Sink takes what a follower learns. Its methods are called one at a time.
type Sink[T any] interface {
	// Reset replaces all objects by a new list.
	Reset(list []Object[T])
	// Apply takes in changes, in order.
	Apply(list []Change[T])
	// Contact tells that a call that was begun at a boot time was answered.
	Contact(begun time.Duration)
	// Trouble tells that a call failed.
	Trouble(err error)
}

const (
	// firstPause and lastPause bound the pause after a failed call.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
)

// Follower follows one kind. Set the fields before Run.
type Follower[T any] struct {
	Kind   string
	Source Source[T]
	Sink   Sink[T]
	Clock  clockwork.Clock
	Boot   boottime.Clock
	// Wait is how long one call waits for changes.
	Wait time.Duration
	// Gap is the pause behind changes, so that several come with one call.
	Gap time.Duration
	Log zerolog.Logger

	revision int64
	listed   bool
	failures int
}

// Name implements controller.Controller.
func (fo *Follower[T]) Name() string { return "feed " + fo.Kind }

// Run follows until ctx ends. It may be called again then.
func (fo *Follower[T]) Run(ctx context.Context) error {
	fo.listed, fo.failures = false, 0
	for ctx.Err() == nil {
		err := fo.step(ctx)
		if ctx.Err() != nil {
			break
		}
		switch {
		case err == nil:
			fo.recovered()
		case errors.Is(err, ErrHistoryGone):
			fo.Log.Info().Str("event", "history_gone").Str("kind", fo.Kind).Int64("revision", fo.revision).Msg("feed: listing again")
			fo.listed = false
		default:
			fo.failed(err)
			fo.backOff(ctx)
		}
	}
	return nil
}

// step makes one call.
func (fo *Follower[T]) step(ctx context.Context) error {
	begun := fo.Boot.Now()
	if !fo.listed {
		list, revision, err := fo.Source.List(ctx)
		if err = errors.Join(err, ctx.Err()); err != nil {
			return err
		}
		fo.revision, fo.listed = revision, true
		fo.Sink.Reset(list)
		fo.Sink.Contact(begun)
		return nil
	}
	changes, revision, err := fo.Source.Watch(ctx, fo.revision, fo.Wait)
	if err = errors.Join(err, ctx.Err()); err != nil {
		return err
	}
	fo.revision = max(fo.revision, revision)
	if len(changes) > 0 {
		fo.Sink.Apply(changes)
	}
	fo.Sink.Contact(begun)
	if len(changes) > 0 && fo.Gap > 0 {
		pause.For(ctx, fo.Clock, fo.Gap)
	}
	return nil
}

func (fo *Follower[T]) recovered() {
	if fo.failures > 0 {
		fo.Log.Info().Str("event", "dependency_regained").Str("kind", fo.Kind).Int("failures", fo.failures).Msg("feed: the store answers")
	}
	fo.failures = 0
}

func (fo *Follower[T]) failed(err error) {
	if fo.failures == 0 {
		fo.Log.Warn().Str("event", "dependency_lost").Str("kind", fo.Kind).Err(err).Msg("feed: the store does not answer")
	}
	fo.failures++
	fo.Sink.Trouble(err)
}

func (fo *Follower[T]) backOff(ctx context.Context) {
	bound := min(firstPause<<min(fo.failures, 8), lastPause)
	pause.For(ctx, fo.Clock, bound/2+rand.N(bound/2))
}
