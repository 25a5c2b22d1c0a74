package simulation

import (
	"slices"
	"strconv"
	"time"

	"filbertstall.example/filbertstall/internal/endpoint"
)

const (
	memoryTokens  = 60_000
	maxSequences  = 256
	coldSequences = 4
	// warmTokens is the number of tokens that a cold engine generates until it is
	// warm.
	warmTokens = 1500
	// coldSlowdown multiplies the step time of a cold engine with more than
	// coldSequences running sequences.
	coldSlowdown    = 10
	stepBase        = 12 * time.Millisecond
	stepPerSequence = 120 * time.Microsecond
	// stepFullMemory is added to the step time when the KV-cache is full, and
	// proportionally less when it is not.
	stepFullMemory = 20 * time.Millisecond
	// prefillPerToken is added to the step time for each token that the step
	// prefills.
	prefillPerToken = 5 * time.Microsecond
	// crashAfter is the number of tokens that a crashing job generates before
	// the engine crashes.
	crashAfter = 50
)

// engine models an engine with continuous batching. When its KV-cache memory is
// full, it preempts the newest sequence of the lowest priority and recomputes it
// later.
type engine struct {
	name string
	// boot counts restarts and becomes the boot ID of load reports.
	boot  int
	alive bool
	cold  bool
	// warmupTokens counts the tokens generated since the engine turned cold.
	warmupTokens int
	running      []*job
	waiting      []*job
	// used is the memory of the running jobs, in tokens.
	used int
	// stepping is true while a step is in progress, and duration is the length
	// of the current or last step.
	stepping  bool
	duration  time.Duration
	started   int64
	preempted int64
}

func newEngine(index int) *engine {
	return &engine{name: "filbert-" + strconv.Itoa(index), alive: true}
}

func (en *engine) load() endpoint.Load {
	return endpoint.Load{
		BootID: strconv.Itoa(en.boot), Running: len(en.running), Waiting: len(en.waiting), StartedTotal: en.started,
		PreemptedTotal: en.preempted, MemoryUsed: en.used, MemoryTotal: memoryTokens,
	}
}

// overloaded reports whether the engine is cold and has no capacity for another
// job.
func (en *engine) overloaded() bool {
	return en.cold && len(en.running)+len(en.waiting) >= coldSequences
}

func (en *engine) submit(jo *job) {
	jo.engine, jo.doneAtStart = en, jo.done
	en.waiting = append(en.waiting, jo)
}

// cancel removes a job immediately, whether it runs or waits.
func (en *engine) cancel(jo *job) {
	en.waiting = without(en.waiting, jo)
	before := len(en.running)
	en.running = without(en.running, jo)
	if len(en.running) < before {
		en.used -= jo.heldTokens
	}
}

// without removes jo from list in place and returns the shortened list.
func without(list []*job, jo *job) []*job {
	for ix, each := range list {
		if each == jo {
			return append(list[:ix], list[ix+1:]...)
		}
	}
	return list
}

// beginStep starts a step and returns its duration, or false if the engine is
// idle.
func (en *engine) beginStep() (time.Duration, bool) {
	prefill := en.fillBatch()
	for len(en.running) > 1 && en.used+len(en.running) > memoryTokens {
		en.preempt()
	}
	if len(en.running) == 0 {
		return 0, false
	}
	du := stepBase + time.Duration(len(en.running))*stepPerSequence
	du += time.Duration(prefill) * prefillPerToken
	du += time.Duration(int64(stepFullMemory) * int64(en.used) / memoryTokens)
	if en.cold && len(en.running) > coldSequences {
		du *= coldSlowdown
	}
	return du, true
}

// fillBatch moves waiting jobs into the batch, highest priority first, while
// sequences and memory allow. It returns the number of tokens to prefill.
func (en *engine) fillBatch() int {
	prefill := 0
	for len(en.waiting) > 0 && len(en.running) < maxSequences {
		best := 0
		for ix, jo := range en.waiting {
			if jo.priority > en.waiting[best].priority {
				best = ix
			}
		}
		jo := en.waiting[best]
		need := jo.prompt + jo.done
		if len(en.running) > 0 && en.used+need > memoryTokens {
			break
		}
		en.waiting = append(en.waiting[:best], en.waiting[best+1:]...)
		jo.heldTokens = need
		en.used += need
		en.running = append(en.running, jo)
		en.started++
		prefill += need
	}
	return prefill
}

// preempt moves the newest running job of the lowest priority to the head of the
// waiting jobs and frees its memory.
func (en *engine) preempt() {
	worst := 0
	for ix, jo := range en.running {
		if jo.priority <= en.running[worst].priority {
			worst = ix
		}
	}
	jo := en.running[worst]
	en.running = append(en.running[:worst], en.running[worst+1:]...)
	en.used -= jo.heldTokens
	jo.heldTokens = 0
	en.waiting = append([]*job{jo}, en.waiting...)
	en.preempted++
}

// emitTokens adds one token to each running job.
func (en *engine) emitTokens() {
	for _, jo := range en.running {
		jo.done++
		jo.heldTokens++
	}
	en.used += len(en.running)
	en.warmupTokens += len(en.running)
	if en.warmupTokens >= warmTokens {
		en.cold = false
	}
}

// crashingJob returns a running job that crashes the engine in this step, or nil.
func (en *engine) crashingJob() *job {
	for _, jo := range en.running {
		if jo.crashesEngine && jo.done-jo.doneAtStart >= crashAfter {
			return jo
		}
	}
	return nil
}

// stop kills the engine and returns the jobs that it loses.
func (en *engine) stop() []*job {
	lost := slices.Concat(en.running, en.waiting)
	en.running, en.waiting = nil, nil
	en.used, en.alive = 0, false
	return lost
}

// start restarts the engine in the cold state with a new boot ID.
func (en *engine) start() {
	en.boot++
	en.alive = true
	en.preempted, en.started = 0, 0
	en.turnCold()
}

func (en *engine) turnCold() { en.cold, en.warmupTokens = true, 0 }
