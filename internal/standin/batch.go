package standin

import (
	"time"
)

// runSteps executes decode steps in an endless loop.
func (en *Engine) runSteps() {
	for {
		en.stateMu.Lock()
		wait := en.step()
		en.stateMu.Unlock()
		time.Sleep(wait)
	}
}

// step executes one decode step and returns its duration. The caller holds stateMu.
func (en *Engine) step() time.Duration {
	en.dropFinished()
	en.fillBatch()
	if len(en.running) == 0 {
		return idlePoll
	}
	for len(en.running) > 1 && en.memoryUsed()+len(en.running) > en.op.MemoryTokens {
		en.preempt()
	}
	for _, ge := range en.running {
		ge.done++
		ge.heldTokens++
		close(ge.changed)
		ge.changed = make(chan struct{})
	}
	wait := en.op.StepBase + time.Duration(len(en.running))*en.op.StepPerSequence
	en.warmupTokens += int64(len(en.running))
	if en.cold && len(en.running) > en.op.ColdSequences {
		en.coldOverloads++
		wait *= coldSlowdown
	}
	if en.warmupTokens >= en.op.WarmTokens {
		en.cold = false
	}
	return wait
}

// dropFinished removes generations from the batch and the queue that are complete,
// canceled or without a reader for longer than Grace. It also forgets all
// generations without a reader for longer than Grace, which callers can then no
// longer resume.
func (en *Engine) dropFinished() {
	keep := func(list []*generation) []*generation {
		kept := list[:0]
		for _, ge := range list {
			abandoned := ge.readers == 0 && time.Since(ge.readersChangedAt) > en.op.Grace
			if ge.done < ge.length && !ge.canceled && !abandoned {
				kept = append(kept, ge)
			}
		}
		return kept
	}
	en.running = keep(en.running)
	en.waiting = keep(en.waiting)
	for id, ge := range en.generations {
		if ge.readers == 0 && time.Since(ge.readersChangedAt) > en.op.Grace {
			delete(en.generations, id)
		}
	}
}

// fillBatch moves waiting generations into the batch, highest priority first, while
// sequences and memory allow.
func (en *Engine) fillBatch() {
	for len(en.waiting) > 0 && len(en.running) < en.op.Sequences {
		best := 0
		for ix, ge := range en.waiting {
			if ge.priority > en.waiting[best].priority {
				best = ix
			}
		}
		ge := en.waiting[best]
		need := ge.prompt + int(ge.done)
		if len(en.running) > 0 && en.memoryUsed()+need > en.op.MemoryTokens {
			return
		}
		en.waiting = append(en.waiting[:best], en.waiting[best+1:]...)
		ge.heldTokens = need
		en.running = append(en.running, ge)
		en.started++
	}
}

// preempt moves the newest generation of the lowest priority from the batch to the
// head of the queue and frees its memory.
func (en *Engine) preempt() {
	worst := 0
	for ix, ge := range en.running {
		if ge.priority <= en.running[worst].priority {
			worst = ix
		}
	}
	ge := en.running[worst]
	en.running = append(en.running[:worst], en.running[worst+1:]...)
	ge.heldTokens = 0
	en.waiting = append([]*generation{ge}, en.waiting...)
	en.preempted++
}
