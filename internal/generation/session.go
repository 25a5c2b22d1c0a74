package generation

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strconv"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/pkg/kind"
)

// session is the state of one generation at this instance: its current grant and
// engine stream, and what is needed to move it to another engine. It is used by
// one goroutine at a time. Only interrupt may be called concurrently.
type session struct {
	ha *Handler
	cf *kind.Configuration
	re admission.Request
	ge endpoint.Generation
	// request is the hash of the caller's request, for the token. It is empty if
	// the session resumes an earlier generation.
	request string
	// ctx is canceled with a cause when the caller no longer waits. It is the
	// request's context until detach replaces it by one of the session's own.
	ctx    context.Context
	cancel context.CancelCauseFunc

	// gr is the current grant, nil if there is none.
	gr        *admission.Grant
	grantedAt time.Time
	// offset is the offset of the next token that the caller needs.
	offset int64
	// connected reports whether the granted engine has accepted the generation,
	// so that a further connection resumes the generation and does not start it.
	connected bool
	// continuation reports whether another engine can continue the generation
	// after the last token.
	continuation bool
	// dispatched reports whether any engine may have received the request.
	dispatched bool
	// resumes counts the reconnections to the granted engine since the last token.
	resumes int
	// engines counts the engines that may have started the generation, moves
	// counts all attempted moves including the first start, and grants counts
	// all requests for a grant. The value of grants is part of each grant's ID.
	engines, moves, grants int
	// nonStreaming is set if the caller receives the response only when it is
	// complete, so that the generation may restart at any time. restarted is set
	// by a restart that drops text and is cleared once collect has discarded it.
	nonStreaming, restarted bool

	// freeBody gives the memory of the request's body back. It is nil while the handler of
	// the request runs, which does this itself.
	freeBody func()

	// mu guards changes of st, and its use by interrupt.
	mu sync.Mutex
	// st is the stream from the engine, nil if there is no connection.
	st *endpoint.Stream
}

func (ha *Handler) newSession(ctx context.Context, cf *kind.Configuration, re admission.Request, ge endpoint.Generation) *session {
	return &session{ha: ha, cf: cf, re: re, ge: ge, ctx: ctx, cancel: func(error) {}}
}

// detach replaces the request's context, so that the stream continues after the
// request's handler has returned.
func (se *session) detach() {
	se.ctx, se.cancel = context.WithCancelCause(context.WithoutCancel(se.ctx))
}

// seedOf derives a generation's seed from its ID, so that any instance that has
// the ID continues the generation with the same seed. It returns zero for an ID
// that is not the hexadecimal form of at least 4 bytes.
func seedOf(id string) uint64 {
	raw, err := hex.DecodeString(id)
	if err != nil || len(raw) < 4 {
		return 0
	}
	return uint64(binary.LittleEndian.Uint32(raw))
}

// acquire waits for a place and stores its grant. Each grant has an ID of its
// own, so that two instances that serve the same generation do not share a place.
func (se *session) acquire(re admission.Request) error {
	se.grants++
	re.ID = se.re.ID + "." + strconv.Itoa(se.grants)
	re.DoneTokens = se.offset
	ctx, cancel := se.waitContext(&re)
	defer cancel()
	gr, err := se.ha.Granter.Acquire(ctx, re)
	if err == nil {
		se.gr, se.grantedAt, se.connected, se.resumes = gr, se.ha.Clock.Now(), false, 0
	}
	if se.ctx.Err() == nil {
		return err
	}
	// A place can be granted at the moment the caller stops waiting. The place is
	// then released unused, so that the refusal may say not_run.
	se.release(admission.Unused)
	var er *refusal.Error
	if errors.As(context.Cause(se.ctx), &er) {
		return er
	}
	return refusal.Wrap(refusal.DeadlinePassed, "no place was free before the deadline", se.ctx.Err())
}

// waitContext returns the context that bounds the wait for a place. The request's
// deadline applies only until the first token. After that, the wait lasts up to
// recoverTimeout, so that a partly delivered response is not lost, and re.Deadline
// is set accordingly.
func (se *session) waitContext(re *admission.Request) (context.Context, context.CancelFunc) {
	if se.offset == 0 {
		return se.ctx, func() {}
	}
	re.Deadline = se.ha.Clock.Now().Add(recoverTimeout)
	ctx, cancel := context.WithCancel(se.ctx)
	timer := se.ha.Clock.AfterFunc(recoverTimeout, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// release releases the current grant, if there is one.
func (se *session) release(result admission.Result) {
	if se.gr == nil {
		return
	}
	gr := se.gr
	se.gr = nil
	se.ha.Granter.Release(gr, admission.Outcome{Result: result, Tokens: se.offset, Elapsed: se.ha.Clock.Since(se.grantedAt)})
}

// generate starts the generation at the granted engine. If the engine already runs
// the generation, because the response to an earlier start was lost, generate
// connects to it.
func (se *session) generate() error {
	ge := se.ge
	ge.Priority = se.gr.Priority
	ge.ForcedPrefix = se.offset
	st, err := se.ha.Client.Generate(se.gr.Endpoint.URL, ge)
	if !endpoint.IsKind(err, endpoint.Unreachable) && !endpoint.IsKind(err, endpoint.Refused) {
		se.dispatched = true
	}
	return se.setStream(st, err)
}

// resume connects to a generation that the granted engine already runs, at the
// offset of the next token.
func (se *session) resume() error {
	st, err := se.ha.Client.Resume(se.gr.Endpoint.URL, se.ge.ID, se.offset)
	return se.setStream(st, err)
}

// setStream stores a newly opened stream, and interrupts it if the session was
// interrupted in the meantime. If err is not nil, it only returns err.
func (se *session) setStream(st *endpoint.Stream, err error) error {
	if err != nil {
		return err
	}
	se.connected = true
	se.continuation = se.gr.Endpoint.Capabilities.Continuation
	se.mu.Lock()
	defer se.mu.Unlock()
	se.st = st
	if se.ctx.Err() != nil {
		st.Interrupt()
	}
	return nil
}

// interrupt cancels the session's context and ends a blocked read. It may be
// called repeatedly and by any goroutine. The first cause is kept.
func (se *session) interrupt(cause error) {
	se.cancel(cause)
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.st != nil {
		se.st.Interrupt()
	}
}

// disconnect closes the connection to the engine. The generation keeps running
// there.
func (se *session) disconnect() {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.st != nil {
		se.st.Close()
		se.st = nil
	}
}

// next reads the next event and recovers from failures of the engine. It returns
// an error if recovery is not possible, or the cause of an interrupt.
func (se *session) next(ev *endpoint.Event) error {
	for {
		err := se.st.Next(ev)
		if err == nil {
			se.recordDelivered(ev)
			return nil
		}
		if se.ctx.Err() != nil {
			return context.Cause(se.ctx)
		}
		se.disconnect()
		if err := se.recover(err); err != nil {
			return err
		}
	}
}

// recordDelivered updates the session for an event that goes to the caller. Once
// a token is delivered that no other engine can continue after, the request body
// is no longer needed and is released.
func (se *session) recordDelivered(ev *endpoint.Event) {
	if ev.Done || ev.Waiting {
		return
	}
	se.offset = ev.Offset + 1
	se.resumes = 0
	se.gr.Tokens.Store(se.offset)
	if !se.continuation && !se.nonStreaming {
		se.releaseBody()
	}
}

// releaseBody releases the body of the request.
func (se *session) releaseBody() {
	se.ge.Body = nil
	if se.freeBody != nil {
		se.freeBody()
	}
}

// abandon releases the grant and cancels the generation at its engine in the
// background. It sends no cancel if the engine cannot have started the generation,
// and the engine refuses the cancel if somebody else reads the generation.
func (se *session) abandon(result admission.Result) {
	url, id, started := se.gr.Endpoint.URL, se.ge.ID, se.connected || result.Sent()
	se.disconnect()
	se.release(result)
	if !started {
		return
	}
	se.ha.background(func() {
		if err := se.ha.Client.CancelUnread(url, id); err != nil {
			se.ha.Log.Debug().Err(err).Msg("generation: the abandoned generation was not canceled at its engine")
		}
	})
}

// refusal converts err to a refusal of the whole request. The refusal says
// not_run only if no engine can have received the request.
func (se *session) refusal(err error) *refusal.Error {
	er := toRefusal(err)
	if se.dispatched {
		return er.WithDispatched()
	}
	return er
}
