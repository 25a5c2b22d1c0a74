package dispatch

import (
	"context"
	"errors"
	"io"
	"slices"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/upstream"
)

// maxAnswerBytes limits an answer that is not a stream of events. Such an answer
// is buffered completely before its first byte goes to the caller.
const maxAnswerBytes = 32 << 20

const (
	// maxBufferedBytes limits all answers that are buffered at the same time, so that
	// endpoints that send without end can't take all memory.
	maxBufferedBytes = 48 << 20
	// An answer is read in pieces that double with it, between these sizes. Most answers
	// fit into the first one.
	minBufferStepBytes = 1 << 10
	bufferStepBytes    = 32 << 10
)

// errNoBuffer means that the answers that are being buffered have reached
// maxBufferedBytes.
var errNoBuffer = errors.New("dispatch: the answers that are being buffered are too large together")

// readAll reads the whole body of an answer.
func (di *Dispatcher) readAll(an *upstream.Answer) ([]byte, error) {
	var body []byte
	defer func() { di.buffered.Add(-int64(len(body))) }()
	for {
		step := min(max(len(body), minBufferStepBytes), bufferStepBytes)
		body = slices.Grow(body, step)
		count, err := an.Read(body[len(body) : len(body)+step])
		body = body[:len(body)+count]
		total := di.buffered.Add(int64(count))
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) > maxAnswerBytes:
			return nil, upstream.ErrTooLarge
		case total > maxBufferedBytes:
			return nil, errNoBuffer
		}
	}
}

// serveBuffered answers a request with a complete, buffered answer.
func (di *Dispatcher) serveBuffered(ctx context.Context, ta *task) Reply {
	ctx, cancel := context.WithDeadline(ctx, ta.deadline)
	defer cancel()
	dm := di.demand(ta)
	for {
		if di.pathLost(ta) {
			if rp, done := di.forward(ctx, ta); done {
				return rp
			}
		}
		de, er := di.chooseEndpoint(ctx, ta, dm)
		if er != nil {
			return di.refuseOrForward(ctx, ta, er)
		}
		re := di.attempt(ctx, ta, de)
		if re.step == deliver {
			re = di.readBody(ctx, ta, de.endpoint, re)
			if re.step == deliver {
				return Reply{Status: re.answer.Status, Headers: re.answer.Headers, Body: re.body}
			}
		}
		if re.step == giveUp {
			return di.refuseOrForward(ctx, ta, re.refusal)
		}
	}
}

// readBody reads the whole body of an answer and ends the attempt's ticket. If
// the body is incomplete, the result asks for a retry or holds a refusal.
func (di *Dispatcher) readBody(ctx context.Context, ta *task, en roster.Endpoint, re result) result {
	body, err := di.readAll(re.answer)
	re.answer.Close()
	if err == nil {
		ou := placement.Done
		if re.answer.Status >= 500 {
			ou = placement.Failed
		} else {
			re.ticket.Answered()
		}
		re.ticket.End(ou)
		di.recordAnswer(ta, en, re.sentAt, ou == placement.Failed)
		re.body = body
		di.clearSuspicion(ta, en)
		return re
	}
	if ctx.Err() != nil {
		re.ticket.End(placement.Done)
		di.recordTimeout(ctx, ta, en, re.sentAt)
		return result{step: giveUp, refusal: di.endedRefusal(ctx, ta, err)}
	}
	re.ticket.End(placement.Lost)
	return di.handleLost(ta, en, err)
}
