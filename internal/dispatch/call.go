package dispatch

import (
	"context"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/upstream"
)

// maxAnswerBytes limits an answer that is not a stream of events. Such an answer
// is buffered completely before its first byte goes to the caller.
const maxAnswerBytes = 32 << 20

// readAll reads the whole body of an answer into memory of Dispatcher.Memory.
func (di *Dispatcher) readAll(an *upstream.Answer) (*buffer.Buffer, error) {
	body := buffer.New(di.Memory)
	if err := body.Fill(an, maxAnswerBytes); err != nil {
		return nil, err
	}
	return body, nil
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
