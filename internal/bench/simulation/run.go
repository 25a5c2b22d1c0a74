package simulation

import (
	"fmt"
	"strconv"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
)

// Faults selects the faults that are injected into a run.
type Faults struct {
	// Cold restarts one engine and makes another one cold without a restart.
	Cold bool
	// Dying kills one engine, which restarts after 30 s.
	Dying bool
	// Crashing sends a request that crashes every engine that runs it, and
	// resends it after each crash.
	Crashing bool
}

// Options configures one run.
type Options struct {
	Policy  Policy
	Seed    uint64
	Lengths Lengths
	// Load is the arrival rate as a share of Capacity.
	Load float64
	// Duration is the virtual length of the run. Zero means ten minutes.
	Duration time.Duration
	Faults   Faults
	// noAbandonment lets callers wait without limit, and no request is refused.
	noAbandonment bool
	// Trace is called with the state of the engines every ten seconds of virtual
	// time. It may be nil.
	Trace func(text string)
}

const (
	engineCount     = 12
	defaultDuration = 10 * time.Minute
	// unmeasuredTime at the start of a run is excluded from the measurements,
	// as the allocator learns answer lengths in it.
	unmeasuredTime = time.Minute
	// progressInterval is the interval at which instances report new tokens to
	// the allocator.
	progressInterval = 200 * time.Millisecond
	// reportInterval and reportLag are the interval and the delay of the load
	// reports of engines.
	reportInterval = time.Second
	reportLag      = time.Second
	traceInterval  = 10 * time.Second
)

// run is the state of one simulation. Times are virtual, from zero.
type run struct {
	op       Options
	now      time.Duration
	end      time.Duration
	events   eventQueue
	engines  []*engine
	workload *workload
	di       dispatcher
	me       *measurement
	resends  int
	// coldNoticedAt has, for engines that turned cold without a restart, the time
	// from which the allocator can know. Overloads before it are not counted.
	coldNoticedAt map[*engine]time.Duration
}

// Run simulates one combination of options. It returns an error if the policy or
// the lengths are unknown or the load is not positive.
func Run(op Options) (Row, error) {
	rate := Capacity(op.Lengths) * op.Load
	if rate <= 0 {
		return Row{}, fmt.Errorf("simulation: unknown lengths %q or load %v", op.Lengths, op.Load)
	}
	ru, err := newRun(op, rate)
	if err != nil {
		return Row{}, err
	}
	ru.loop()
	return ru.me.row(op), nil
}

// newRun returns a run with its first events scheduled. The rate is in requests
// per second.
func newRun(op Options, rate float64) (*run, error) {
	if op.Duration == 0 {
		op.Duration = defaultDuration
	}
	ru := &run{op: op, end: op.Duration, coldNoticedAt: make(map[*engine]time.Duration)}
	for no := range engineCount {
		ru.engines = append(ru.engines, newEngine(no))
	}
	ru.workload = newWorkload(op.Seed, op.Lengths, rate)
	ru.me = newMeasurement(min(unmeasuredTime, op.Duration/4), op.Duration)
	di, err := newDispatcher(op.Policy, ru)
	if err != nil {
		return nil, err
	}
	ru.di = di
	ru.scheduleArrival()
	ru.every(progressInterval, di.progress)
	ru.every(reportInterval, ru.report)
	if op.Trace != nil {
		ru.every(traceInterval, func() { op.Trace(ru.state()) })
	}
	ru.scheduleFaults()
	return ru, nil
}

// loop executes events in order until the end of the run.
func (ru *run) loop() {
	for ru.events.Len() > 0 {
		ev := ru.events.next()
		if ev.at >= ru.end {
			return
		}
		ru.now = ev.at
		ev.run()
	}
}

// every schedules do at intervals of du, the first time at du.
func (ru *run) every(du time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		ru.events.add(ru.now+du, again)
	}
	ru.events.add(du, again)
}

// scheduleArrival draws the next job and schedules its arrival.
func (ru *run) scheduleArrival() {
	jo := ru.workload.next()
	ru.events.add(jo.arrived, func() {
		ru.scheduleArrival()
		ru.submit(jo)
	})
}

func (ru *run) submit(jo *job) {
	if ru.me.within(jo.arrived) {
		ru.me.arrived++
	}
	if !ru.op.noAbandonment {
		ru.events.add(jo.arrived+jo.patience(), func() { ru.abandonIfWaiting(jo) })
	}
	ru.di.submit(jo)
}

// abandonIfWaiting lets the caller hang up if the job has not received its first
// token.
func (ru *run) abandonIfWaiting(jo *job) {
	if jo.finished || jo.firstToken > 0 {
		return
	}
	ru.di.abandoned(jo)
	ru.endUnanswered(jo)
}

// endUnanswered ends a job that was refused or abandoned.
func (ru *run) endUnanswered(jo *job) {
	if jo.finished {
		return
	}
	jo.finished = true
	ru.me.recordUnanswered(jo)
}

// dispatch sends a job to an engine. If the engine is down, the job is submitted
// again for another engine.
func (ru *run) dispatch(jo *job, en *engine) {
	if !en.alive {
		ru.di.ended(jo, admission.NotBegun)
		jo.excluded = append(jo.excluded, en.name)
		ru.di.submit(jo)
		return
	}
	if until, found := ru.coldNoticedAt[en]; en.overloaded() && (!found || ru.now > until) {
		ru.me.coldOverloads++
	}
	if ru.me.within(ru.now) {
		ru.me.dispatched++
	}
	en.submit(jo)
	ru.startStep(en)
}

// startStep starts a step unless the engine is down or executes one.
func (ru *run) startStep(en *engine) {
	if en.stepping || !en.alive {
		return
	}
	before := en.preempted
	du, busy := en.beginStep()
	if ru.me.within(ru.now) {
		ru.me.preempted += int(en.preempted - before)
	}
	if !busy {
		return
	}
	en.stepping, en.duration = true, du
	boot := en.boot
	ru.events.add(ru.now+du, func() { ru.finishStep(en, boot) })
}

// finishStep ends a step, in which each running job receives a token. It ignores
// steps that a crash or restart of the engine interrupted.
func (ru *run) finishStep(en *engine, boot int) {
	if en.boot != boot || !en.alive {
		return
	}
	en.stepping = false
	en.emitTokens()
	steady := 0
	kept := en.running[:0]
	var ended []*job
	for _, jo := range en.running {
		if jo.lastToken == ru.now-en.duration && jo.firstToken > 0 {
			steady++
		} else {
			ru.recordPause(jo)
		}
		jo.lastToken = ru.now
		if jo.done < jo.length {
			kept = append(kept, jo)
			continue
		}
		en.used -= jo.heldTokens
		ended = append(ended, jo)
	}
	en.running = kept
	if ru.me.within(ru.now) {
		ru.me.recordGap(en.duration, steady)
	}
	if en.duration > stallThreshold {
		for _, jo := range en.running {
			jo.stalled += en.duration - stallThreshold
		}
	}
	if jo := en.crashingJob(); jo != nil {
		ru.me.enginesLost++
		ru.kill(en)
		return
	}
	ru.startStep(en)
	for _, jo := range ended {
		jo.finished = true
		ru.me.ended(ru.now, jo)
		ru.di.ended(jo, admission.Completed)
	}
}

// recordPause records the time to the first token of a job, or the gap before its
// first token after a pause.
func (ru *run) recordPause(jo *job) {
	if jo.firstToken == 0 {
		jo.firstToken = ru.now
		ru.me.recordFirstToken(jo)
		return
	}
	gap := ru.now - jo.lastToken
	if ru.me.within(ru.now) {
		ru.me.recordGap(gap, 1)
	}
	jo.stalled += max(gap-stallThreshold, 0)
}

// kill stops an engine. It restarts in the cold state after restartAfter (30 s).
func (ru *run) kill(en *engine) {
	list := en.stop()
	en.stepping = false
	ru.events.add(ru.now+restartAfter, en.start)
	for _, jo := range list {
		ru.requeueLost(jo, en)
	}
}

// requeueLost resubmits a job that lost its engine, so that it continues on
// another one. The caller of a crashing job observes the failure and resends the
// request.
func (ru *run) requeueLost(jo *job, en *engine) {
	jo.heldTokens = 0
	ru.di.ended(jo, admission.Lost)
	jo.excluded = append(jo.excluded, en.name)
	if !jo.crashesEngine {
		ru.di.submit(jo)
		return
	}
	ru.endUnanswered(jo)
	ru.resend(jo)
}

const (
	restartAfter = 30 * time.Second
	resendAfter  = time.Second
	// maxResends limits the resends of crashing requests in a run.
	maxResends = 8
)

// resend schedules a copy of a crashing job, as its caller would send it again.
func (ru *run) resend(jo *job) {
	if ru.resends == maxResends {
		return
	}
	ru.resends++
	retry := &job{
		id: jo.id + "+" + strconv.Itoa(ru.resends), team: jo.team, arrived: ru.now + resendAfter,
		prompt: jo.prompt, length: jo.length, crashesEngine: true, fingerprint: jo.fingerprint,
	}
	ru.events.add(retry.arrived, func() { ru.submit(retry) })
}

// report samples the load of each engine and delivers it after reportLag.
func (ru *run) report() {
	for _, en := range ru.engines {
		if !en.alive {
			continue
		}
		lo := en.load()
		ru.events.add(ru.now+reportLag, func() { ru.di.report(en, lo) })
	}
}

// state formats, for each engine, thousands of tokens in memory, running and
// waiting jobs, followed by the state of the dispatcher.
func (ru *run) state() string {
	text := fmt.Sprintf("t=%v", ru.now)
	for _, en := range ru.engines {
		text += fmt.Sprintf(" %d/%d+%d", en.used/1000, len(en.running), len(en.waiting))
	}
	return text + " " + ru.di.state()
}
