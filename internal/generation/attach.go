package generation

import (
	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/refusal"
)

// attach connects to the engine that runs a generation started by an earlier
// request, at this or another instance. It tries the engine that the token names
// first. If the token allows continuation, another engine may have continued the
// generation under the same token, so attach then tries the service's other
// engines that support continuation. Last, it moves the generation to another
// engine if canMove allows that.
func (se *session) attach(to Token) error {
	se.dispatched = true
	se.continuation = to.Continuation
	firstErr := se.attachTo(to.Endpoint)
	if firstErr == nil || se.ctx.Err() != nil {
		return firstErr
	}
	if to.Continuation {
		for _, en := range se.cf.ServiceEndpoints(to.Service) {
			if en.Name == to.Endpoint || !en.Capabilities.Continuation {
				continue
			}
			if se.attachTo(en.Name) == nil {
				return nil
			}
		}
	}
	if !se.canMove() {
		return firstErr
	}
	if !endpoint.IsKind(firstErr, endpoint.Gone) {
		se.re.Exclude = append(se.re.Exclude, to.Endpoint)
	}
	return se.moveAndRecover(firstErr)
}

// moveAndRecover starts the generation, or moves it to another engine, and recovers
// from failures of that.
func (se *session) moveAndRecover(cause error) error {
	err := se.move(cause)
	if err == nil {
		return nil
	}
	if se.ctx.Err() != nil {
		return se.interruptCause(err)
	}
	return se.recover(err)
}

// attachTo connects to the generation at one engine. It makes up to maxResumes
// attempts if the connection breaks or times out.
func (se *session) attachTo(name string) error {
	re := se.re
	re.Only = name
	if err := se.acquire(re); err != nil {
		return err
	}
	var err error
	for range maxResumes {
		err = se.resume()
		linkFailed := endpoint.IsKind(err, endpoint.Lost) || endpoint.IsKind(err, endpoint.TimedOut)
		if err == nil || !linkFailed {
			break
		}
		se.ha.countRetry(stepRejoin)
		se.ha.Clock.Sleep(resumePause)
	}
	if err == nil {
		return nil
	}
	result := resultOf(err)
	if endpoint.IsKind(err, endpoint.Gone) {
		// An engine that does not know the generation is healthy, so the result
		// must not count as a failure of the engine.
		result = admission.Canceled
	}
	se.release(result)
	return err
}

// attachRefusal returns the refusal for a generation that cannot be resumed. An
// earlier request was sent to an engine, so the refusal never says not_run.
func attachRefusal(err error) *refusal.Error {
	return toRefusal(err).WithDispatched()
}
