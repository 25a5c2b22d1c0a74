package generation

import (
	"context"
	"errors"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/retry"
)

const (
	// maxResumes bounds the reconnections to one engine without a new token.
	maxResumes = 3
	// resumePause is the delay before each reconnection.
	resumePause = 50 * time.Millisecond
	// maxEngines bounds the engines that one request may run on, because the
	// request itself may be what crashes them.
	maxEngines = 3
	// maxMoves bounds all attempted moves, including those in which no engine
	// accepted the request.
	maxMoves = 12
	// recoverTimeout bounds the wait for a place after the first token.
	recoverTimeout = time.Minute
)

// step is a recovery action after a failure. It is the reason label of the
// stream_retries metric.
type step string

// The recovery actions, cheapest first.
const (
	// stepRejoin reconnects to the same engine.
	stepRejoin step = "rejoin"
	// stepRestart starts the generation from the beginning at another engine.
	// It is possible only while nothing has been delivered to the caller.
	stepRestart step = "restart"
	// stepContinue continues at another engine after the delivered tokens.
	stepContinue step = "continue"
	// stepGiveUp ends the response with an error.
	stepGiveUp step = "give_up"
)

var steps = []step{stepRejoin, stepRestart, stepContinue, stepGiveUp}

// recover tries recovery actions until one succeeds. It returns the last failure
// if none is left, or the cause of an interrupt.
func (se *session) recover(cause error) error {
	for {
		action := se.decide(cause)
		se.ha.countRetry(action)
		se.logFailure(action, cause)
		var err error
		switch action {
		case stepRejoin:
			err = se.rejoin()
		case stepRestart, stepContinue:
			err = se.move(cause)
		default:
			return cause
		}
		if err == nil {
			return nil
		}
		if se.ctx.Err() != nil {
			return se.interruptCause(err)
		}
		cause = err
	}
}

// interruptCause returns why an interrupted wait ended: err if it is a refusal,
// and the cause of the interrupt otherwise.
func (se *session) interruptCause(err error) error {
	var er *refusal.Error
	if errors.As(err, &er) {
		return er
	}
	return context.Cause(se.ctx)
}

// decide returns the next recovery action after a failure.
func (se *session) decide(cause error) step {
	var er *refusal.Error
	switch {
	case errors.As(cause, &er):
		return stepGiveUp
	case se.gr != nil && se.resumes < maxResumes && se.canRejoin(cause):
		return stepRejoin
	case !se.canMove():
		return stepGiveUp
	case se.offset == 0 && !se.withinRetryBudget(cause):
		return stepGiveUp
	case se.offset == 0 || !se.continuation:
		return stepRestart
	default:
		return stepContinue
	}
}

// canRejoin reports whether the granted engine may still run the generation. An
// engine that reported a failure to start it does not. An engine that refuses
// connections has probably crashed. It is tried again only if the generation cannot
// move to another one, because then a few more attempts cost little.
func (se *session) canRejoin(cause error) bool {
	switch {
	case endpoint.IsKind(cause, endpoint.Lost), endpoint.IsKind(cause, endpoint.TimedOut), endpoint.IsKind(cause, endpoint.Mismatched):
		return true
	case endpoint.IsKind(cause, endpoint.Failed), endpoint.IsKind(cause, endpoint.Refused):
		return se.connected
	case endpoint.IsKind(cause, endpoint.Unreachable):
		return se.connected && !se.canMove()
	default:
		return false
	}
}

// canMove reports whether another engine may run the generation. After a
// delivered token this requires engines that continue from a forced prefix.
// Otherwise the caller would receive tokens of a second, unrelated generation.
func (se *session) canMove() bool {
	withinLimits := se.ge.Body != nil && se.engines < maxEngines && se.moves < maxMoves
	return withinLimits && (se.offset == 0 || se.continuation || se.nonStreaming)
}

// withinRetryBudget reports whether the service's retry budget allows one more
// start, and sleeps for the back-off if so. Recovery after the first token does not
// use the budget, so that a partly delivered response is always completed if
// possible.
func (se *session) withinRetryBudget(cause error) bool {
	if se.ha.Retries == nil {
		return true
	}
	at := retry.Attempt{Service: se.re.Service, Number: 1, Reason: retry.Lost, Idempotent: true}
	switch resultOf(cause) {
	case admission.NotBegun:
		at.Reason = retry.NotBegun
	case admission.Failed:
		at.Reason = retry.Failed
	}
	pause, again := se.ha.Retries.Decide(at)
	if again {
		se.ha.Clock.Sleep(pause)
	}
	return again
}

// rejoin reconnects to the granted engine. If the engine has not answered yet, the
// start is retried. This is idempotent: the ID is the same, so an engine that
// received the first start connects the call to that generation.
func (se *session) rejoin() error {
	se.resumes++
	se.ha.Clock.Sleep(resumePause)
	if !se.connected {
		return se.generate()
	}
	return se.resume()
}

// move starts or continues the generation at another engine and excludes the
// current one, if there is one. An engine that no longer knows the generation is
// not excluded: it has restarted and is available again.
func (se *session) move(cause error) error {
	if se.gr != nil {
		if !endpoint.IsKind(cause, endpoint.Gone) {
			se.re.Exclude = append(se.re.Exclude, se.gr.Endpoint.Name)
		}
		se.abandon(resultOf(cause))
	}
	if se.offset > 0 && !se.continuation {
		se.offset, se.restarted = 0, true
	}
	se.moves++
	re := se.re
	if se.offset > 0 {
		re.Exclude = se.withoutContinuation(re.Exclude)
	}
	if err := se.acquire(re); err != nil {
		return err
	}
	err := se.generate()
	if !endpoint.IsKind(err, endpoint.Unreachable) && !endpoint.IsKind(err, endpoint.Refused) {
		se.engines++
	}
	return err
}

// withoutContinuation returns exclude plus the engines that cannot continue from
// a forced prefix.
func (se *session) withoutContinuation(exclude []string) []string {
	exclude = slices.Clone(exclude)
	for _, en := range se.cf.ServiceEndpoints(se.re.Service) {
		if !en.Capabilities.Continuation {
			exclude = append(exclude, en.Name)
		}
	}
	return exclude
}

func (se *session) logFailure(action step, cause error) {
	le := se.ha.Log.Warn().Err(cause).Str("step", string(action)).Str("generation", se.ge.ID).Int64("offset", se.offset)
	if se.gr != nil {
		le = le.Str("endpoint", se.gr.Endpoint.Name)
	}
	le.Msg("generation: start or stream failed; the step field names the recovery action")
}

// resultOf returns the result with which a grant is released after err.
func resultOf(err error) admission.Result {
	switch {
	case endpoint.IsKind(err, endpoint.Unreachable), endpoint.IsKind(err, endpoint.Refused):
		return admission.NotBegun
	case endpoint.IsKind(err, endpoint.Failed):
		return admission.Failed
	default:
		return admission.Lost
	}
}

// toRefusal converts an error of an endpoint or of the granter to a refusal.
func toRefusal(err error) *refusal.Error {
	var er *refusal.Error
	if errors.As(err, &er) {
		return er
	}
	switch {
	case endpoint.IsKind(err, endpoint.Gone):
		return refusal.Wrap(refusal.UnknownGeneration, "no engine knows the generation any more; the POST sent again with Last-Event-ID may go on with it", err)
	case resultOf(err) == admission.NotBegun:
		return refusal.Wrap(refusal.EndpointRefused, "no engine took the request", err)
	case resultOf(err) == admission.Failed:
		return refusal.Wrap(refusal.EndpointFailed, "the engine failed", err)
	default:
		return refusal.Wrap(refusal.EndpointLost, "the engine was lost", err)
	}
}
