package dispatch

import (
	"context"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// answerBytes bounds the answer of a plain call, which is held whole before
// its first byte goes to the caller.
const answerBytes = 32 << 20

// call answers a request by a whole answer.
func (di *Dispatcher) call(ctx context.Context, ta *task) Reply {
	ctx, cancel := context.WithDeadline(ctx, ta.deadline)
	defer cancel()
	wo := di.work(ta)
	for {
		en, er := di.choose(ta, wo)
		if er != nil {
			er.Dispatched = ta.ran > 0
			return di.refuse(ta.Request, er)
		}
		re := di.attempt(ctx, ta, place{endpoint: en, work: wo})
		if re.step == deliver {
			re = di.whole(ctx, ta, en, re)
			if re.step == deliver {
				return Reply{Status: re.answer.Status, Headers: re.answer.Headers, Body: re.body}
			}
		}
		if re.step == giveUp {
			return di.refuse(ta.Request, re.refusal)
		}
	}
}

// whole reads the body of an answer.
func (di *Dispatcher) whole(ctx context.Context, ta *task, en roster.Endpoint, re result) result {
	body, err := re.answer.ReadAll(answerBytes)
	re.answer.Close()
	if err == nil {
		ou := placement.Done
		if re.answer.Status >= 500 {
			ou = placement.Failed
		}
		re.ticket.End(ou)
		re.body = body
		di.finished(ta)
		return re
	}
	if ctx.Err() != nil {
		re.ticket.End(placement.Done)
		return result{step: giveUp, refusal: di.ended(ctx, ta, err)}
	}
	re.ticket.End(placement.Lost)
	return di.lost(ta, en, err)
}
