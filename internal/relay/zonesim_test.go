package relay

import (
	"cmp"
	"slices"
	"time"
)

// simTick is the step of simulated time. A call between instances, or an answer of a
// sound store, takes one.
const simTick = 20 * time.Millisecond

// simFault is one disturbance of a zone: an instance freezes, is cut off, is killed and
// started again, or its path to the store is cut; or the store refuses, is busy, silent
// or slow, for one instance or, with the target -1, for all.
type simFault struct {
	Kind   string
	Target int
	At     time.Duration
	For    time.Duration
}

// simInstance is one instance: its election, and a model of the calls that it makes.
type simInstance struct {
	el election
	// knows is the time of the newest state of the store that it has, confirmed that
	// of its last confirmation, disturbed when it was last disturbed itself, or the
	// store for it.
	knows, confirmed, disturbed time.Duration
	up, frozen, cut             bool
	store                       string
	// seen is when it last received a message of each other instance.
	seen []time.Duration
	// role is what it sends to others.
	role role
	// phase and source are what it does since begun. sent is when the current call was
	// sent; due is the time of the next step. following is set after a good update.
	phase              phase
	source             int
	begun, sent, due   time.Duration
	following, pending bool
	answered, lost     bool
	failures           int
	failing, asked     time.Duration
	endedAt            time.Duration
}

// simStart is the time from which the times of faults count. The zone has five seconds
// to start.
const simStart = time.Minute + 5*time.Second

// simZone plays the instances of one zone against one store.
type simZone struct {
	now       time.Duration
	instances []*simInstance
	faults    []simFault
	// changing is set if the store changes all the time, so that no call is held.
	changing bool
	calls    int
	// storeDisturbed is when the store itself was last disturbed.
	storeDisturbed time.Duration
}

// simNames are the names of the instances in their order as candidates.
var simNames = []string{"00", "01", "02", "03", "04", "05", "06", "07", "08", "09", "10", "11"}

func simName(ix int) string { return simNames[ix] }

func simIndex(name string) int { return slices.Index(simNames, name) }

func newSimZone(count int, changing bool, faults []simFault) *simZone {
	sz := &simZone{now: time.Minute, faults: faults, changing: changing}
	for ix := range count {
		in := &simInstance{up: true, seen: make([]time.Duration, count)}
		in.restart(sz.now, ix)
		sz.instances = append(sz.instances, in)
	}
	return sz
}

func (in *simInstance) restart(now time.Duration, ix int) {
	*in = simInstance{el: election{self: simName(ix)}, up: true, seen: make([]time.Duration, len(in.seen)), disturbed: now, phase: -1}
	for other := range in.seen {
		in.seen[other] = now
	}
}

// disturbance is what faults do to one instance at a time.
type disturbance struct {
	frozen, cut, killed bool
	store               string
}

// disturbance returns the effect of all faults on an instance at this moment.
func (sz *simZone) disturbance(ix int) (di disturbance) {
	for _, fa := range sz.faults {
		at := simStart + fa.At
		if sz.now < at || sz.now >= at+fa.For || fa.Target != -1 && fa.Target%len(sz.instances) != ix {
			continue
		}
		switch fa.Kind {
		case "freeze":
			di.frozen = true
		case "cut":
			di.cut = true
		case "kill":
			di.killed = true
		case "path":
			di.store = "silent"
		default:
			di.store, sz.storeDisturbed = fa.Kind, sz.now
		}
	}
	return di
}

// disturb applies the faults of this moment.
func (sz *simZone) disturb() {
	for ix, in := range sz.instances {
		di := sz.disturbance(ix)
		if !in.up && !di.killed {
			in.restart(sz.now, ix)
		}
		if di != (disturbance{}) {
			in.disturbed = sz.now
		}
		in.up, in.frozen, in.cut, in.store = !di.killed, di.frozen, di.cut, di.store
		if in.pending && in.phase == reading && (di.cut || di.store != "" && di.store != "slow") {
			in.lost = true
		}
	}
}

// reaches reports whether a call between two instances passes.
func (sz *simZone) reaches(from, to int) bool {
	a, b := sz.instances[from], sz.instances[to]
	return a.up && b.up && !a.frozen && !b.frozen && !a.cut && !b.cut
}

// step advances the time by one tick.
func (sz *simZone) step() {
	sz.now += simTick
	sz.disturb()
	for ix, in := range sz.instances {
		for other := range sz.instances {
			if sz.reaches(ix, other) {
				in.seen[other] = sz.now
			}
		}
	}
	for ix, in := range sz.instances {
		if in.up && !in.frozen {
			sz.play(ix, in)
		}
	}
}

// handle passes an event to the election of an instance and begins what comes next.
func (sz *simZone) handle(in *simInstance, ev event) {
	ev.at, ev.age = time.Unix(0, 0).Add(sz.now), unknownAge
	if in.confirmed > 0 {
		ev.age = sz.now - in.confirmed
	}
	for ix := range sz.instances {
		if sz.now-in.seen[ix] < 3*time.Second || simName(ix) == in.el.self {
			ev.ranked = append(ev.ranked, simName(ix))
		}
	}
	before, source := in.el.phase, in.el.source
	in.el.handle(ev)
	if in.el.phase == before && (before != following || in.el.source == source) && ev.kind != searched {
		return
	}
	if before == reading {
		in.role = role{unable: ev.kind == storeLost}
	}
	in.begin(sz.now)
}

func (in *simInstance) begin(now time.Duration) {
	in.phase, in.begun, in.sent, in.due = in.el.phase, now, now, now
	in.pending, in.following, in.answered, in.lost, in.failures = false, false, false, false, 0
	switch in.phase {
	case reading:
		in.role, in.asked = role{direct: true}, now+firstReplacedCheck-replacedInterval
	case following:
		in.source = simIndex(in.el.source)
	case resting:
		in.due = now + retryDelay
	}
}

func (sz *simZone) play(ix int, in *simInstance) {
	switch in.phase {
	case reading:
		sz.read(ix, in)
	case following:
		sz.follow(ix, in)
	case searching:
		sz.search(ix, in)
	default:
		if sz.now >= in.due {
			sz.handle(in, event{kind: started})
		}
	}
}

// read models the calls about the configuration. Each is held for a second.
func (sz *simZone) read(ix int, in *simInstance) {
	if !in.pending && sz.now >= in.due {
		sz.sendRead(in)
	}
	if in.pending && !in.lost && in.answered && in.store != "slow" {
		in.knows = sz.now
	}
	if in.pending && sz.now >= in.due {
		in.endRead(sz.now)
	}
	ca := calls{failures: in.failures, failing: sz.now - in.failing, silent: sz.now - in.endedAt}
	switch before := sz.readerBefore(ix); {
	case storeFails(in.answered, sz.now-in.begun, sz.now-in.confirmed, ca):
		sz.handle(in, event{kind: storeLost, answered: in.answered})
	case in.answered && sz.now-in.asked >= replacedInterval:
		if in.asked = sz.now; before >= 0 {
			sz.handle(in, event{kind: replaced, name: simName(before)})
		}
	case in.answered:
		sz.handle(in, event{kind: storeAnswered})
	}
}

// sendRead sends a call to the store. due is the time at which it ends.
func (sz *simZone) sendRead(in *simInstance) {
	in.pending, in.sent, in.lost = true, sz.now, in.cut || in.store == "silent"
	sz.calls++
	in.due = sz.now + simTick
	if in.answered {
		in.due = sz.now + time.Second
	}
	switch {
	case in.lost:
		in.due = sz.now + 2200*time.Millisecond
	case in.store == "slow":
		in.due += 330 * time.Millisecond
	case in.store == "busy", in.store == "refused":
		in.lost, in.due = true, sz.now+simTick
	}
}

// endRead takes the answer of the store, or its failure. due is then the time of the
// next call.
func (in *simInstance) endRead(now time.Duration) {
	in.pending, in.endedAt, in.due = false, now, now
	if !in.lost {
		in.knows, in.confirmed = max(in.knows, in.sent), in.sent
		in.answered, in.failures = true, 0
		return
	}
	if in.failures++; in.failures == 1 {
		in.failing = now
	}
	in.due += min(100*time.Millisecond<<in.failures, 800*time.Millisecond) * 3 / 4
}

func (sz *simZone) readerBefore(ix int) int {
	for before := range ix {
		if other := sz.instances[before]; sz.reaches(ix, before) && other.role.direct && sz.status(before).check() == nil {
			return before
		}
	}
	return -1
}

func (sz *simZone) status(ix int) Status {
	in := sz.instances[ix]
	st := Status{Direct: in.role.direct, Unable: in.role.unable, Hops: in.role.hops, Reader: in.role.reader, ConfigurationAge: unknownAge}
	if in.confirmed > 0 {
		st.ConfigurationAge = sz.now - in.confirmed
	}
	return st
}

// follow models the calls to a candidate. One that is frozen or cut off does not
// answer, the address of one that was killed refuses the call.
func (sz *simZone) follow(ix int, in *simInstance) {
	if !in.pending {
		if sz.now < in.due {
			return
		}
		in.pending, in.lost, in.sent = true, false, sz.now
	}
	so := sz.instances[in.source]
	hold, timeout := watchWait, watchWait+responseMargin
	if !so.role.direct {
		hold, timeout = relayedWatchWait, relayedWatchWait+responseMargin
	}
	if !in.following {
		hold, timeout = 0, contactTimeout
	} else if in.el.proven != sz.readerOf(in.source) {
		hold, timeout = readyPollInterval, readyPollInterval+contactTimeout
	}
	in.lost = in.lost || !sz.reaches(ix, in.source)
	if in.lost {
		if !so.up || sz.now-in.sent >= timeout {
			sz.handle(in, event{kind: unreachable, name: simName(in.source)})
		}
		return
	}
	st := sz.status(in.source)
	changed := in.following && sz.changing || st.check() != nil
	if sz.now-in.sent < max(hold, simTick) && !changed {
		if in.following {
			in.knows = max(in.knows, so.knows)
		}
		return
	}
	in.pending, in.due = false, sz.now
	sz.takeUpdate(in, so, st)
}

// takeUpdate applies the answer of a source.
func (sz *simZone) takeUpdate(in, so *simInstance, st Status) {
	ev := event{name: simName(in.source), reader: sz.readerOf(in.source), direct: st.Direct}
	switch err := st.check(); {
	case st.Reader == in.el.self, err == errIdle, err == errTooFar:
		ev.kind, ev.wait = notReady, idleTimeout
	case err == errStale:
		ev.kind, ev.wait = notReady, readyTimeout
	case err == errUnable:
		ev.kind = unable
	default:
		ev.kind = updated
		in.knows, in.confirmed = max(in.knows, so.knows), max(in.confirmed, so.confirmed)
		in.role = role{hops: st.Hops + 1, reader: ev.reader}
	}
	if in.following {
		ev.wait = 0
	}
	in.following = ev.kind == updated
	if ev.kind == notReady {
		in.due = sz.now + readyPollInterval
	}
	sz.handle(in, ev)
}

// readerOf returns the name of the instance that reads the store for this one.
func (sz *simZone) readerOf(ix int) string { return cmp.Or(sz.instances[ix].role.reader, simName(ix)) }

func (sz *simZone) search(ix int, in *simInstance) {
	ev := event{kind: searched}
	var fresh []int
	for other := range sz.instances {
		if other == ix || sz.now-in.seen[other] >= 3*time.Second {
			continue
		}
		if !sz.reaches(ix, other) {
			ev.silent = append(ev.silent, simName(other))
			continue
		}
		st := sz.status(other)
		if st.check() == errUnable {
			ev.unable = append(ev.unable, simName(other))
			continue
		}
		ev.able = append(ev.able, simName(other))
		ev.trying = ev.trying || st.Direct
		if st.check() == nil && !in.el.distrusts(st.Reader, time.Unix(0, 0).Add(sz.now)) {
			fresh = append(fresh, other)
		}
	}
	if len(ev.silent) > 0 && sz.now-in.begun < statusTimeout {
		return
	}
	if len(fresh) > 0 {
		best := slices.MinFunc(fresh, func(a, b int) int { return sz.instances[a].role.hops - sz.instances[b].role.hops })
		ev.found, ev.foundReader = simName(best), sz.instances[best].role.direct
	}
	sz.handle(in, ev)
}
