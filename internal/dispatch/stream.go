package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/upstream"
)

// Runs takes in streams that can be moved; migration.Mover is one.
type Runs interface {
	Add(*migration.Run)
	Remove(*migration.Run)
}

// errBroken is what a stream ends with that can't go on.
var errBroken = errors.New("dispatch: the stream broke and can't go on")

// stream answers a request by the events of one run.
func (di *Dispatcher) stream(ctx context.Context, ta *task) Reply {
	ctx, cancel := context.WithDeadline(ctx, ta.deadline)
	wo := di.work(ta)
	for {
		en, er := di.choose(ta, wo)
		if er != nil {
			cancel()
			return di.refuse(ta.Request, er)
		}
		pl := place{endpoint: en, work: wo, standby: di.keepCopy(ta, en, wo)}
		re := di.attempt(ctx, ta, pl)
		if re.step != deliver || re.answer.Status != http.StatusOK {
			pl.standby.release()
		}
		if re.step == again {
			continue
		}
		if re.step == giveUp {
			cancel()
			return di.refuse(ta.Request, re.refusal)
		}
		if re.answer.Status != http.StatusOK {
			defer cancel()
			re = di.whole(ctx, ta, en, re)
			if re.step != deliver {
				return di.refuse(ta.Request, re.refusal)
			}
			return Reply{Status: re.answer.Status, Headers: re.answer.Headers, Body: re.body}
		}
		se := di.open(ctx, cancel, ta, pl, re)
		return Reply{Status: re.answer.Status, Headers: re.answer.Headers, Events: se}
	}
}

// session is a stream that goes to its caller. One goroutine reads it.
type session struct {
	place
	di     *Dispatcher
	ta     *task
	ctx    context.Context
	cancel context.CancelFunc
	answer *upstream.Answer
	ticket *placement.Ticket
	run    *migration.Run
	// pending is read of the answer; the first whole bytes of it are events.
	pending []byte
	whole   int
	// last is the id of the last event that is whole.
	last   string
	events int
	ended  error
	// lastAt is when the last event was whole.
	lastAt time.Time
	moves  int
	// stall runs while events are awaited; nil runs never.
	stall clockwork.Timer
}

// open begins the session of a stream whose head has come.
func (di *Dispatcher) open(ctx context.Context, cancel context.CancelFunc, ta *task, pl place, re result) *session {
	en := pl.endpoint
	re.ticket.Started()
	di.Log.Info().Str("event", "first_event").Str("request", ta.ID).Str("endpoint", en.ID).Dur("took", di.Clock.Since(ta.Arrived)).Msg("dispatch: first event came")
	se := &session{di: di, ta: ta, ctx: ctx, cancel: cancel, place: pl, answer: re.answer, ticket: re.ticket}
	if ta.service.Engine != nil && ta.service.Engine.Migrates && di.Runs != nil {
		se.run = &migration.Run{
			ID: ta.ID, Service: ta.service.Name, Engine: ta.service.Engine,
			Prompt: ta.Prompt.Tokens, MaxOutput: ta.Prompt.MaxOutput, Output: pl.work.Output,
		}
		se.run.At(en)
		se.run.Keep(pl.standby.id())
		di.Runs.Add(se.run)
		if now, known := di.Roster.View().Get(en.ID); !known || now.Leaving {
			se.di.leaving(en)
		}
	}
	se.watch()
	return se
}

const readBytes = 4 << 10

// Read implements io.Reader. It returns whole events; io.EOF comes only behind
// the last one.
func (se *session) Read(into []byte) (int, error) {
	for se.whole == 0 {
		if se.ended != nil {
			return 0, se.ended
		}
		se.fill()
	}
	count := copy(into, se.pending[:se.whole])
	se.pending = se.pending[count:]
	se.whole -= count
	return count, nil
}

// fill reads more of the answer.
func (se *session) fill() {
	var buffer [readBytes]byte
	count, err := se.answer.Read(buffer[:])
	se.pending = append(se.pending, buffer[:count]...)
	se.progressed()
	se.scan()
	if err == nil {
		return
	}
	if errors.Is(err, io.EOF) && se.complete() {
		se.whole = len(se.pending)
		se.di.Log.Info().Str("event", "delivered").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).Int("events", se.events).
			Int("moves", se.moves).Int("prompt", se.ta.Prompt.Tokens).Int("max_output", se.ta.Prompt.MaxOutput).Int("hint", se.ta.Prompt.Hint).
			Dur("took", se.di.Clock.Since(se.ta.Arrived)).Msg("dispatch: stream delivered")
		se.di.finished(se.ta)
		if en := se.ta.service.Engine; en != nil {
			se.di.outputs.learn(se.ta.route.Name, se.events*en.TokensPerEvent)
		}
		se.finish(placement.Done, io.EOF)
		return
	}
	se.goOn(err)
}

// complete tells whether the end of the answer is the end of the stream. One
// whose end is not marked must end behind an event.
func (se *session) complete() bool {
	if se.answer.Framed {
		return true
	}
	return len(se.pending) == se.whole && (se.run == nil || !se.run.Stopping())
}

var eventEnd = []byte("\n\n")

// scan finds the events that are whole.
func (se *session) scan() {
	for {
		end := bytes.Index(se.pending[se.whole:], eventEnd)
		if end < 0 {
			break
		}
		event := se.pending[se.whole : se.whole+end]
		se.whole += end + len(eventEnd)
		if id := idOf(event); id != "" {
			se.last = id
		}
		se.events++
		se.pause()
	}
	if se.run != nil {
		se.run.Progress(se.events)
	}
}

// pause logs a pause before an event that makes the stream late.
func (se *session) pause() {
	now := se.di.Clock.Now()
	bound := se.ta.route.MaxGap
	if pause := now.Sub(se.lastAt); se.events > 1 && bound > 0 && pause > bound {
		se.di.Log.Info().Str("event", "stream_paused").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).Int("events", se.events).
			Int("moves", se.moves).Dur("pause", pause).Msg("dispatch: the caller saw a long pause")
	}
	se.lastAt = now
}

// idOf returns the id of an event.
func idOf(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// maxMoves bounds how often one stream goes on elsewhere.
const maxMoves = 16

// goOn goes on with a broken stream where its run was moved, or at its standby
// copy, or ends it.
func (se *session) goOn(cause error) {
	se.unwatch()
	se.answer.Close()
	se.pending = se.pending[:se.whole]
	if se.ctx.Err() != nil || se.moves >= maxMoves {
		se.broke(cause)
		return
	}
	mv, found := se.next()
	if !found {
		se.broke(cause)
		return
	}
	se.moves++
	se.ticket.End(placement.Done)
	if err := se.resume(mv); err != nil {
		mv.Ticket.End(placement.Lost)
		se.broke(errors.Join(err, cause))
	}
}

// next returns where a broken run goes on.
func (se *session) next() (migration.Moved, bool) {
	if se.run != nil {
		if mv, moved := se.run.Await(se.ctx); moved {
			return mv, true
		}
	}
	mv, found := se.takeOver()
	if found && se.run != nil {
		se.run.At(mv.Target)
	}
	return mv, found
}

// resume goes on with the run at the target of its move.
func (se *session) resume(mv migration.Moved) error {
	di := se.di
	se.standby.release()
	se.standby = di.keepCopy(se.ta, mv.Target, se.work)
	if se.run != nil {
		se.run.Keep(se.standby.id())
	}
	at := Attempt{
		Endpoint: mv.Target, Left: se.ta.left(di.Clock.Now()), Team: se.ta.team, PassCredential: se.ta.open, Standby: se.standby.address(),
		Resume: &Resume{Source: mv.From.Address, Handle: mv.Handle, LastEvent: se.last},
	}
	di.Budget.Force(se.ta.service.Name)
	an, err := di.Sender.Do(se.ctx, di.Codec.Call(se.ta.Request, at))
	if err != nil {
		return err
	}
	ve := di.Codec.Verdict(an)
	if an.Status != http.StatusOK || !ve.Genuine {
		an.Close()
		return errBroken
	}
	di.Log.Info().Str("event", "resumed").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).
		Str("target", mv.Target.ID).Str("last_event", se.last).Msg("dispatch: stream goes on")
	di.Meter.attempt("resumed")
	se.endpoint, se.answer, se.ticket = mv.Target, an, mv.Ticket
	se.watch()
	if now, known := di.Roster.View().Get(mv.Target.ID); !known || now.Leaving {
		di.leaving(mv.Target)
	}
	return nil
}

// leaving asks again for the moves of an engine that leaves.
func (di *Dispatcher) leaving(en roster.Endpoint) {
	if di.Roster.OnLeave != nil {
		di.Roster.OnLeave(en)
	}
}

// broke ends the session of a stream that can't go on.
func (se *session) broke(cause error) {
	if se.ctx.Err() == nil {
		se.di.Log.Info().Str("event", "stream_broken").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).
			Int("events", se.events).Str("last_event", se.last).Int("moves", se.moves).AnErr("cause", cause).Msg("dispatch: stream broken")
		se.di.Meter.attempt("stream_broken")
		se.di.blame(se.ta, se.endpoint)
		se.finish(placement.Lost, errBroken)
		return
	}
	se.di.Log.Info().Str("event", "stream_given_up").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).
		Int("events", se.events).AnErr("cause", context.Cause(se.ctx)).Msg("dispatch: caller left or time is over")
	se.finish(placement.Done, errBroken)
}

// finish ends the session's part at the endpoint.
func (se *session) finish(ou placement.Outcome, err error) {
	se.ended = err
	se.unwatch()
	se.answer.Close()
	se.ticket.End(ou)
	se.standby.release()
	if se.run != nil {
		se.di.Runs.Remove(se.run)
		se.run = nil
	}
}

// Close implements io.Closer.
func (se *session) Close() error {
	se.cancel()
	if se.ended == nil {
		se.broke(errBroken)
	}
	return nil
}
