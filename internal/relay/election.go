package relay

import (
	"slices"
	"time"
)

// phase is what an instance does at present to get the store's state.
type phase int

const (
	// undecided is the state before the first decision.
	undecided phase = iota
	// reading: it reads the store for its zone.
	reading
	// following: it asks the candidate source for updates.
	following
	// searching: it asks several instances for their status at once.
	searching
	// resting: it has found nothing to follow, and pauses.
	resting
)

// eventKind names what happened to an instance.
type eventKind int

const (
	// started: the instance starts, or its pause is over.
	started eventKind = iota
	// updated: the source sent an update that is worth following.
	updated
	// notReady: the source answered, but does not have fresh state yet.
	notReady
	// unreachable: the source did not answer.
	unreachable
	// unable: the source reported that the store does not answer it.
	unable
	// searched: a search is over.
	searched
	// storeAnswered: the store answered this instance, which reads it.
	storeAnswered
	// storeLost: the store does not answer this instance, which read it.
	storeLost
	// reached: the store answered this instance, but not the reader that it follows.
	reached
	// replaced: a candidate that comes before this instance reads the store.
	replaced
)

// event is something that happened to an instance at a time.
type event struct {
	kind eventKind
	at   time.Time
	// ranked are the candidates of the zone in order, with this instance.
	ranked []string
	// age is that of this instance's confirmation, or unknownAge.
	age time.Duration
	// name is the candidate of an event that concerns one, and reader the instance
	// that reads the store for it. direct is set if that is the candidate itself.
	name, reader string
	direct       bool
	// wait is how long a candidate that is not ready may stay so.
	wait time.Duration
	// answered is set for storeLost if the store had answered before.
	answered bool
	// able, silent and unable are the candidates of this zone that a search found to
	// answer, not to answer, and to have reported that the store does not answer them.
	able, silent, unable []string
	// trying is set if one of able reads the store, or attempts to.
	trying bool
	// found is the best source that a search found, or empty; foundReader is set if
	// it reads the store for this zone.
	found       string
	foundReader bool
}

const (
	// skipTime is how long a candidate is passed over after it could not be
	// followed, or could not read the store. An instance that fails to read the
	// store again and again passes itself over for up to maxSkipTime.
	skipTime    = 5 * time.Second
	maxSkipTime = 10 * time.Second
	// attemptInterval is the time between two attempts of one of the first
	// triers candidates of a zone to read a store that was found not to answer,
	// counted from the beginning of the first. They don't wait for a turn, so that a
	// store that is back is noticed. A trier that sees an earlier one at an attempt
	// putOff its own off by attemptGap, and no longer than an attemptInterval in all.
	attemptInterval = 1200 * time.Millisecond
	attemptGap      = 600 * time.Millisecond
	triers          = 2
	// maxUnserved is how long an instance waits for a candidate to take a lost
	// reader's place before it reads the store itself, unless it was informed that the
	// store does not answer.
	maxUnserved = 1700 * time.Millisecond
	// maxOwnConfirmationAge is the age of the store's last confirmation beyond
	// which an instance follows any that has a fresh one, and alternativeTime is how
	// long it does so before it tries the candidates of its zone in order again.
	maxOwnConfirmationAge = 2200 * time.Millisecond
	alternativeTime       = 4 * time.Second
	// urgentAge is the age of its own confirmation beyond which an instance does
	// not wait for a candidate. Keys are accepted for about two seconds longer.
	urgentAge = 3 * time.Second
)

// election decides for one instance whether it reads the store or whom it
// follows. It knows neither network nor clock: each event carries its time, and
// phase is what to do until the next event. The guarantee: while an instance can
// reach the store or a reader, the age of what it has stays bounded.
//
//	undecided, resting --started--> reading, following or searching
//	following --updated--> following, or reading if it is this instance's turn
//	following --notReady--> following for a while; then as for unable
//	following --unable--> the next candidate, or searching if the state is old
//	following --unreachable--> searching
//	following --reached--> reading
//	searching --searched--> following, reading or resting
//	reading --storeLost--> the next candidate, or searching if the state is old
//	reading --replaced--> following
//
// It is not safe for concurrent use.
type election struct {
	self  string
	phase phase
	// source is the candidate that is followed. alternative is set if a search
	// found it; it is then followed until the time until.
	source      string
	alternative bool
	until       time.Time
	// awaited is the candidate that is not ready yet, since the time awaitedSince.
	awaited      string
	awaitedSince time.Time
	// urgent is set while a search is made for any fresh source.
	urgent bool
	// lost and unable map candidates that did not answer, and those that do not read
	// the store, to the end of the time for which they are passed over.
	lost, unable map[string]time.Time
	// served is when this instance last got the state from the store or from a
	// source, and outage when it last learned that the store does not answer someone.
	served, outage time.Time
	// proven is the reader that last gave this instance a newer confirmation of the
	// store, and confirmed the time of that confirmation. One that has just taken a
	// reader's place is not proven: it sends what it had before.
	proven    string
	confirmed time.Time
	// attempted is when this instance last began to read the store, or stopped after
	// the store had answered; otherTried is when it last saw another candidate at an
	// attempt. ownSkip is how long it passes itself over the next time.
	attempted, otherTried time.Time
	ownSkip               time.Duration
}

// handle takes an event and changes to the next state.
func (el *election) handle(ev event) {
	if el.lost == nil {
		el.lost, el.unable = make(map[string]time.Time), make(map[string]time.Time)
	}
	switch ev.kind {
	case started:
		el.decide(ev)
	case updated:
		el.handleUpdate(ev)
	case notReady:
		el.handleNotReady(ev)
	case unreachable:
		el.handleLoss(ev)
	case unable:
		el.outage, el.proven = ev.at, ""
		el.passOver(ev, ev.name)
		el.leave(ev)
	case searched:
		el.handleSearch(ev)
	case storeAnswered:
		el.served, el.confirmed, el.proven = ev.at, ev.at.Add(-ev.age), el.self
	case storeLost:
		el.handleStoreLost(ev)
	case reached:
		el.passOver(ev, ev.name)
		el.read(ev)
	case replaced:
		delete(el.lost, ev.name)
		delete(el.unable, ev.name)
		el.decide(ev)
	}
}

// choose returns the candidate whose turn it is, which may be this instance, or ""
// if all are passed over.
func (el *election) choose(ev event) string {
	if el.mustRead(ev) {
		return el.self
	}
	for _, name := range ev.ranked {
		if !el.passes(name, ev.at) {
			return name
		}
	}
	return ""
}

// mustRead reports whether this instance reads the store whoever else may do so:
// it is one of the few that look whether a store is back, or nobody took the place
// of a lost reader. No view of other instances can keep it from that, since two
// instances may take each other for the reader.
func (el *election) mustRead(ev event) bool {
	if ev.at.Before(el.attempted.Add(attemptInterval)) {
		return false
	}
	if el.knowsOutage() {
		putOff := ev.at.Before(el.otherTried.Add(attemptGap)) && ev.at.Before(el.attempted.Add(attemptInterval+attemptGap))
		return el.isTrier(ev) && !putOff
	}
	return !el.served.IsZero() && !ev.at.Before(el.served.Add(maxUnserved))
}

// knowsOutage reports whether this instance learned that the store does not answer
// someone, and has not got the state from anyone since.
func (el *election) knowsOutage() bool { return !el.outage.IsZero() && !el.outage.Before(el.served) }

// isTrier reports whether this instance is one of the first candidates that answer.
func (el *election) isTrier(ev event) bool {
	before := 0
	for _, name := range ev.ranked {
		if name == el.self {
			break
		}
		if !ev.at.Before(el.lost[name]) {
			before++
		}
	}
	return before < triers
}

// passes reports whether a candidate is passed over.
func (el *election) passes(name string, at time.Time) bool {
	return at.Before(el.lost[name]) || at.Before(el.unable[name])
}

// passOver passes a candidate over that does not read the store. The time is not
// renewed before its end: the candidate may have reported the same again without
// another attempt.
func (el *election) passOver(ev event, name string) {
	el.awaited = ""
	if !ev.at.Before(el.unable[name]) {
		el.unable[name] = ev.at.Add(skipTime)
	}
}

// decide lets this instance read the store, follow the candidate whose turn it is,
// or search.
func (el *election) decide(ev event) {
	switch name := el.choose(ev); name {
	case "":
		el.search(true)
	case el.self:
		el.read(ev)
	default:
		el.phase, el.source, el.alternative = following, name, false
	}
}

func (el *election) read(ev event) { el.phase, el.attempted, el.awaited = reading, ev.at, "" }

// decideOrSearch searches for any fresh source first if this instance's state is old.
func (el *election) decideOrSearch(ev event) {
	if ev.age > maxOwnConfirmationAge {
		el.search(true)
		return
	}
	el.decide(ev)
}

// leave gives a source up. A pause follows if a search found it: the next search
// would find it again.
func (el *election) leave(ev event) {
	if el.alternative {
		el.phase = resting
		return
	}
	el.decideOrSearch(ev)
}

func (el *election) search(urgent bool) { el.phase, el.urgent = searching, urgent }

// handleLoss asks all others who reads the store now. If an outage is over, this
// instance may do so, too.
func (el *election) handleLoss(ev event) {
	el.lost[ev.name], el.proven = ev.at.Add(skipTime), ""
	if !el.knowsOutage() {
		delete(el.unable, el.self)
	}
	el.search(false)
}

// handleUpdate keeps to a source that reads the store. It is left if it is this
// instance's turn, or if it does not read the store and another one's turn.
func (el *election) handleUpdate(ev event) {
	el.awaited = ""
	if confirmed := ev.at.Add(-ev.age); confirmed.After(el.confirmed) {
		el.confirmed, el.proven = confirmed, ev.reader
	}
	if el.proven == ev.reader && !ev.at.Before(el.lost[ev.reader]) {
		el.served = ev.at
	}
	delete(el.lost, ev.name)
	if ev.direct {
		delete(el.unable, ev.name)
	}
	if el.alternative {
		if !ev.at.Before(el.until) {
			el.decide(ev)
		}
		return
	}
	ownTurn := slices.Index(ev.ranked, el.self) == 0 && !el.passes(el.self, ev.at)
	if ownTurn || el.proven != ev.reader && el.mustRead(ev) || !ev.direct && el.choose(ev) != ev.name {
		el.decide(ev)
	}
}

// handleNotReady waits for a candidate for as long as it may take, and no longer
// than it remains the one to follow.
func (el *election) handleNotReady(ev event) {
	if ev.direct {
		el.otherTried = ev.at
	}
	if el.awaited != ev.name {
		el.awaited, el.awaitedSince = ev.name, ev.at
	}
	switch {
	case el.alternative:
		el.leave(ev)
	case ev.at.Sub(el.awaitedSince) >= ev.wait:
		el.passOver(ev, ev.name)
		el.leave(ev)
	case el.choose(ev) != ev.name:
		el.decide(ev)
	case ev.age > urgentAge && ev.age < unknownAge:
		el.search(true)
	}
}

// handleSearch follows a source that reads the store for this zone, or any source
// if the search is urgent. Else the candidate whose turn it is comes next.
func (el *election) handleSearch(ev event) {
	for _, name := range ev.able {
		delete(el.lost, name)
	}
	if ev.trying {
		el.otherTried = ev.at
	}
	for _, name := range ev.silent {
		el.lost[name] = ev.at.Add(skipTime)
	}
	for _, name := range ev.unable {
		el.outage = ev.at
		el.passOver(ev, name)
	}
	switch {
	case ev.found != "" && (el.urgent || el.knowsOutage() || ev.foundReader):
		el.phase, el.source, el.alternative, el.until = following, ev.found, true, ev.at.Add(alternativeTime)
	case el.choose(ev) != el.self && el.searchesWide():
		el.phase = resting
	default:
		el.decide(ev)
	}
}

// handleStoreLost passes this instance over. The time doubles with each attempt
// that the store did not answer.
func (el *election) handleStoreLost(ev event) {
	if ev.answered {
		el.ownSkip, el.attempted = skipTime, ev.at
	}
	el.ownSkip = max(el.ownSkip, skipTime)
	el.unable[el.self], el.outage = ev.at.Add(el.ownSkip), ev.at
	el.ownSkip = min(2*el.ownSkip, maxSkipTime)
	el.decideOrSearch(ev)
}

// follows reports whether a candidate is still the one to follow.
func (el *election) follows(name string) bool { return el.phase == following && el.source == name }

// distrusts reports whether a source is no better than this instance because this one
// reads the store for it, or was given up by this one.
func (el *election) distrusts(reader string, at time.Time) bool {
	return reader != "" && (reader == el.self || el.passes(reader, at))
}

// searchesWide reports whether a search asks other zones, too.
func (el *election) searchesWide() bool { return el.urgent || el.knowsOutage() }
