package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/migration"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/suspicion"
	"filbertstall.example/filbertstall/internal/upstream"
)

// Runs registers streams whose runs can be migrated. migration.Mover implements
// it.
type Runs interface {
	Add(*migration.Run)
	Remove(*migration.Run)
	// MoveOne moves one run off its engine, which stays, and reports whether the
	// run was stopped there.
	MoveOne(context.Context, *migration.Run) bool
	// Settle finds out what became of a run whose stream broke off, and stops it if its
	// engine still works on it.
	Settle(ctx context.Context, ru *migration.Run, standby string) migration.Fate
}

// errVersionStopped means that the engine to which a run was moved has a version that
// gets no runs any more.
var errVersionStopped = errors.New("dispatch: the version of the run's engine gets no runs any more")

// errCopyLost means that the engine where a run was to go on has restarted.
var errCopyLost = errors.New("dispatch: the run's engine has restarted and has no copy of it")

// errRunSuspect means that engines crash under runs like the one that was to go on.
var errRunSuspect = errors.New("dispatch: engines crash under the run or a part of its prompt")

// errNotResumed means that an engine answered that a run does not go on there.
var errNotResumed = errors.New("dispatch: the engine did not resume the run")

// errTurnedAway means that the engine did not take the call.
var errTurnedAway = fmt.Errorf("%w: it turned the call away", errNotResumed)

// errNoBudget means that no further call at a copy is within the budget of repeats.
var errNoBudget = errors.New("dispatch: the budget of repeats allows no further call at a copy")

// serveStream answers a request with the events of one run.
func (di *Dispatcher) serveStream(ctx context.Context, ta *task) Reply {
	ctx, cancel := context.WithDeadline(ctx, ta.deadline)
	dm := di.demand(ta)
	for {
		if di.pathLost(ta) {
			if rp, done := di.forward(ctx, ta); done {
				return rp.withCancel(cancel)
			}
		}
		de, er := di.chooseEndpoint(ctx, ta, dm)
		if er != nil {
			return di.refuseOrForward(ctx, ta, er).withCancel(cancel)
		}
		de.standby = di.reserveStandby(ta, de.endpoint, dm)
		re := di.attempt(ctx, ta, de)
		if re.step != deliver || re.answer.Status != http.StatusOK {
			de.standby.release()
		}
		if re.step == retry {
			continue
		}
		if re.step == giveUp {
			return di.refuseOrForward(ctx, ta, re.refusal).withCancel(cancel)
		}
		if re.answer.Status != http.StatusOK {
			defer cancel()
			re = di.readBody(ctx, ta, de.endpoint, re)
			if re.step != deliver {
				return di.refuse(ta.Request, re.refusal)
			}
			return Reply{Status: re.answer.Status, Headers: re.answer.Headers, Body: re.body}
		}
		se := di.openSession(ctx, cancel, ta, de, re)
		return Reply{Status: re.answer.Status, Headers: re.answer.Headers, Events: se}
	}
}

// session is a stream that is being delivered to its caller. Only one goroutine
// may read it.
type session struct {
	destination
	di     *Dispatcher
	ta     *task
	ctx    context.Context
	cancel context.CancelFunc
	answer *upstream.Answer
	ticket *placement.Ticket
	run    *migration.Run
	// pending holds data that was read from the answer and not yet delivered.
	// Its first completeBytes bytes are complete events.
	pending       []byte
	completeBytes int
	// memory is the share of pending in Dispatcher.Memory.
	memory buffer.Share
	// scannedBytes is the number of bytes of pending that have no further end of an event.
	scannedBytes int
	// scanErr is set once something stood where an event was due that must not be passed on.
	scanErr error
	// position is the place behind which the run goes on elsewhere.
	position position
	// kept is set once the run can't go on elsewhere and is not moved any more.
	kept   bool
	events int
	// answerFrom is the number of events before the current answer.
	answerFrom int
	endErr     error
	// lastEventAt is when the last complete event was received.
	lastEventAt time.Time
	// sentAt is when the request was sent, beganAt when the head of the present answer arrived.
	sentAt, beganAt time.Time
	// proven is set once the run has gone on for long enough to show that the parts of
	// its prompt are harmless.
	proven bool
	// blamed are the features that a crash of the engine is held against, if the run goes on
	// after one.
	blamed []suspicion.Feature
	// accounted is set once it is recorded that the engine lost the stream, or known that it
	// stopped the run by order.
	accounted bool
	// failedCalls is the number of calls at copies since the stream broke off. budgeted is set
	// once the present one is taken from the budget of repeats.
	failedCalls int
	budgeted    bool
	// moves is the number of attempts to resume the stream.
	moves int
	// unanswered is the move of the last call at a copy, if the call has no usable answer.
	unanswered *migration.Moved
	// calledAgain is set if the engine of the present call was called before, with the same
	// copy and without an answer.
	calledAgain bool
	// stall is nil if the stream is not watched for stalls.
	stall *stallWatch
}

// openSession starts the session of a stream whose header has arrived.
func (di *Dispatcher) openSession(ctx context.Context, cancel context.CancelFunc, ta *task, de destination, re result) *session {
	en := de.endpoint
	re.ticket.Started()
	re.ticket.Answered()
	di.Log.Info().Str("event", "first_event").Str("request", ta.ID).Str("endpoint", en.ID).Dur("took", di.Clock.Since(ta.Arrived)).Msg("dispatch: stream started")
	se := &session{
		di: di, ta: ta, ctx: ctx, cancel: cancel, destination: de, answer: re.answer, ticket: re.ticket, sentAt: re.sentAt, beganAt: di.Clock.Now(),
		memory: buffer.Share{Budget: di.Memory}, position: position{lastEvent: ta.LastEvent, isPlain: !hasEvents(re.answer)},
	}
	if ta.service.Engine != nil && ta.service.Engine.Migrates && di.Runs != nil {
		se.run = &migration.Run{
			ID: ta.ID, Service: ta.service.Name, Engine: ta.service.Engine,
			Prompt: ta.Prompt.Tokens, MaxOutput: ta.Prompt.MaxOutput, Output: de.demand.Output,
		}
		se.run.SetEndpoint(en)
		se.run.SetStandby(de.standby.id())
		di.Runs.Add(se.run)
		if now, known := di.Roster.View().Get(en.ID); !known || now.Leaving {
			se.di.requestMoves(en)
		}
	}
	se.startStallWatch(en, se.answer.Abort)
	return se
}

const readBufferBytes = 4 << 10

// Read implements io.Reader. It returns data of complete events only, and may
// split an event between calls. io.EOF follows only the last event of a complete
// stream.
func (se *session) Read(into []byte) (int, error) {
	for se.completeBytes == 0 {
		if se.endErr != nil {
			return 0, se.endErr
		}
		se.readMore()
	}
	count := copy(into, se.pending[:se.completeBytes])
	se.pending = se.pending[count:]
	se.completeBytes -= count
	se.scannedBytes = max(se.scannedBytes-count, 0)
	if len(se.pending) == 0 && cap(se.pending) > smallPendingBytes {
		se.pending = nil
		se.memory.Resize(0)
	}
	return count, nil
}

// readMore reads from the answer into pending. At the end of the answer it ends
// the session or continues the run elsewhere.
func (se *session) readMore() {
	var buffer [readBufferBytes]byte
	se.stall.awaitData()
	count, err := se.answer.Read(buffer[:])
	se.pending = append(se.pending, buffer[:count]...)
	before := se.events
	arrived := se.scanEvents()
	if before == 0 && se.events > 0 {
		se.di.recordAnswer(se.ta, se.endpoint, se.sentAt, false)
	}
	if arrived > 0 {
		se.stall.eventArrived()
		se.checkProven()
	}
	switch {
	case se.scanErr != nil:
		err = se.scanErr
	case err == nil && !se.fitsInMemory():
		err = errEventTooLarge
	}
	if err == nil {
		return
	}
	err = endOfAnswer(se.answer, se.unscanned(), err)
	if errors.Is(err, io.EOF) && se.endsComplete() {
		se.complete()
		return
	}
	se.continueStream(err)
}

// unscanned returns the lines behind the complete events in pending.
func (se *session) unscanned() eventLines {
	lines := eventLines{isPlain: se.position.isPlain}
	lines.add(se.pending[se.completeBytes:])
	return lines
}

// complete ends the session of a stream that came whole.
func (se *session) complete() {
	se.completeBytes = len(se.pending)
	se.di.logDelivered(se.ta).Func(se.describe).Int("prompt", se.ta.Prompt.Tokens).
		Int("max_output", se.ta.Prompt.MaxOutput).Int("hint", se.ta.Prompt.OutputHint).Msg("dispatch: stream delivered")
	se.di.clearSuspicion(se.ta, se.endpoint)
	if en := se.ta.service.Engine; en != nil {
		se.di.outputEstimator.observe(se.ta.route.Name, se.events*en.TokensPerEvent)
	}
	se.finish(placement.Done, io.EOF)
}

// endsComplete reports whether io.EOF of an answer, which does not end inside an event, is
// the end of the stream. If the end of the answer is not marked by its framing, but only by
// the end of the connection, the stream counts as complete only if it ends after a complete
// event and the engine cannot have closed it because it stopped the run. An answer without
// an event proves nothing of a run, and one that lacks events that the caller has is not its rest.
func (se *session) endsComplete() bool {
	if se.position.due > 0 {
		return false
	}
	if se.answer.Framed {
		return true
	}
	if len(se.pending) != se.completeBytes {
		return false
	}
	if se.run == nil {
		return se.moves == 0 || se.events > se.answerFrom
	}
	return se.events > se.answerFrom && se.run.Known().ProvesEnd()
}

// requestMoves asks again for the runs of a leaving engine to be moved. This is
// needed for a run that starts after the engine began to leave.
func (di *Dispatcher) requestMoves(en roster.Endpoint) {
	if di.Roster.OnLeave != nil {
		di.Roster.OnLeave(en)
	}
}

// fail ends the session of an incomplete stream. If it broke, the engine is probed for a
// crash.
func (se *session) fail(cause error) {
	if !se.di.logIncomplete(se.ctx, se.ta, cause, se.events, se.describe) {
		se.finish(placement.Done, errStreamBroken)
		return
	}
	if !se.accounted {
		se.di.reportCrash(se.ta, se.endpoint, se.crashFeatures()...)
	}
	se.finish(placement.Lost, errStreamBroken)
}

// describe adds to a log line where the stream is.
func (se *session) describe(li *zerolog.Event) {
	li.Str("endpoint", se.endpoint.ID).Int("events", se.events).Str("last_event", se.position.lastEvent).Int("moves", se.moves)
}

// finish ends the session and releases its resources. Read returns err once the
// remaining complete events are delivered.
func (se *session) finish(ou placement.Outcome, err error) {
	se.endErr = err
	se.memory.Resize(0)
	se.stopStallWatch()
	se.answer.Close()
	se.ticket.End(ou)
	se.standby.release()
	if se.run != nil {
		se.di.Runs.Remove(se.run)
		se.run = nil
	}
}

// Close implements io.Closer. It cancels the request if the stream has not
// ended. It is called once the caller has all events that were read.
func (se *session) Close() error {
	se.ta.answer.End(se.di.Clock.Now(), errors.Is(se.endErr, io.EOF))
	se.cancel()
	if se.endErr == nil {
		se.fail(errStreamBroken)
	}
	return nil
}
