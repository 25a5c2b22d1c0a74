package allocation

import (
	"slices"
	"strconv"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/pkg/kind"
)

// refresh tells the decision core which endpoints take new work and with which
// capacity, and computes how many places of each must stay free.
func (ho *holder) refresh(now time.Time) {
	ho.noteDelisted(now)
	cf, silent := ho.current(), ho.silentMembers(now)
	if now.Sub(ho.refreshed) < refreshInterval && cf == ho.configuration && slices.Equal(silent, ho.silent) {
		return
	}
	ho.refreshed, ho.silent, ho.configuration = now, silent, cf
	if cf == nil {
		return
	}
	var list []admission.Candidate
	ho.eligible, ho.open = make(map[string]bool), make(map[string]bool)
	for _, en := range ho.group.endpoints(cf) {
		reserve, determined := ho.requiredReserve(now, en)
		ho.reserve[en.Name] = reserve
		if cf.Eligible(en) {
			ho.eligible[en.Name] = true
		}
		if determined && cf.Eligible(en) {
			ho.open[en.Name] = true
		}
		ca := admission.Candidate{Endpoint: en, Eligible: ho.open[en.Name]}
		ca.Endpoint.Capacity = grantable(en.Capacity)
		list = append(list, ca)
	}
	ho.core.SetEndpoints(now, list)
}

// grantable returns the part of a capacity that holders grant, which is all
// but the fallback places.
func grantable(ca kind.Capacity) kind.Capacity {
	fallback := fallbackPlaces(ca)
	ca.MemoryTokens = int(int64(ca.MemoryTokens) * int64(ca.Sequences-fallback) / int64(max(ca.Sequences, 1)))
	ca.Sequences -= fallback
	ca.ColdSequences -= fallback
	return ca
}

// requiredReserve returns how many places of an endpoint must stay free in
// addition to the fallback places: the shares of silent members or, if that is
// more, the reported requests that this holder does not know. The latter count
// while a new holder has not received a sync from all members, and while a
// member counts as dead. It returns false while the number cannot be
// determined, and while an endpoint that failed has not reported its boot ID
// again.
func (ho *holder) requiredReserve(now time.Time, en kind.Endpoint) (int, bool) {
	reserve := 0
	for _, name := range ho.silent {
		reserve += ho.views().maxShare(name, en.Name, en.Capacity.Sequences)
	}
	re, found := ho.reports[en.Name]
	if failedAt, failed := ho.failedAt[en.Name]; failed && (!found || !re.at.After(failedAt)) {
		return reserve, false
	}
	if found && ho.anyDeparted(now) {
		reserve = max(reserve, re.total-ho.running(en.Name))
	}
	// Endpoints of plain services report nothing, so only the shares of the
	// members without recent contact can be reserved.
	if !ho.recovering(now) || !ho.reporting {
		return reserve, true
	}
	if !found || re.at.Sub(ho.since) < maxReportLag {
		return reserve, false
	}
	return max(reserve, re.total-ho.running(en.Name)), true
}

// applyReserves keeps places free by means of placeholder requests in the
// decision core. An endpoint whose concurrency limit is below its grantable
// capacity needs fewer of them, because the places beyond the limit are free
// anyway.
func (ho *holder) applyReserves(now time.Time) {
	if ho.configuration == nil {
		return
	}
	for _, en := range ho.group.endpoints(ho.configuration) {
		spare := grantable(en.Capacity).Sequences - ho.core.ConcurrencyLimit(en.Name)
		ho.applyReserve(now, en.Name, max(ho.reserve[en.Name]-spare, 0))
	}
}

// applyReserve adds or removes placeholder requests at an endpoint until there
// are want of them. Removal counts as a cancellation, not as a failure of the
// endpoint.
func (ho *holder) applyReserve(now time.Time, name string, want int) {
	for have := ho.reserved[name]; have != want; have = ho.reserved[name] {
		if have < want {
			ho.core.Adopt(now, admission.Request{ID: reserveID(name, have), Service: ho.group.Service}, name, 0)
			ho.reserved[name]++
			continue
		}
		ho.core.Finish(now, reserveID(name, have-1), admission.Outcome{Result: admission.Canceled})
		ho.reserved[name]--
	}
}

func reserveID(name string, number int) string { return "kept/" + name + "/" + strconv.Itoa(number) }

// running counts the granted requests at an endpoint.
func (ho *holder) running(name string) int {
	count := 0
	for _, rq := range ho.requests {
		if rq.endpoint == name {
			count++
		}
	}
	return count
}

// departedGrace is how long a member must be missing from the platform's list
// before it counts as dead. The list lags, and a single read may omit a live
// instance.
const departedGrace = 4 * time.Second

// noteDelisted records since when members of the last views are missing from
// the platform's list. It reads the list at most once per refreshInterval,
// because every grant calls it while the list changes only about once a
// second.
func (ho *holder) noteDelisted(now time.Time) {
	if now.Sub(ho.listRead) < refreshInterval {
		return
	}
	ho.listRead = now
	for _, name := range ho.views().union() {
		_, noted := ho.delisted[name]
		switch listed := ho.listed(name); {
		case listed:
			delete(ho.delisted, name)
		case !noted:
			ho.delisted[name] = now
		}
	}
}

// departed reports whether a member counts as dead, so that its share is no
// longer reserved. If the member is alive but disconnected, its requests show
// in the endpoints' load reports, and requiredReserve reserves places for them
// (see anyDeparted).
func (ho *holder) departed(now time.Time, name string) bool {
	since, found := ho.delisted[name]
	return found && now.Sub(since) >= departedGrace
}

// anyDeparted reports whether any member of the last views counts as dead.
func (ho *holder) anyDeparted(now time.Time) bool {
	return slices.ContainsFunc(ho.views().union(), func(name string) bool { return ho.departed(now, name) })
}

// silentMembers returns the members without recent contact that do not count
// as dead.
func (ho *holder) silentMembers(now time.Time) []string {
	var list []string
	for _, name := range ho.views().union() {
		co, found := ho.contacts[name]
		silent := !found || now.Sub(co.lastSeen) > silenceLimit
		if silent && !ho.departed(now, name) {
			list = append(list, name)
		}
	}
	return list
}

// recovering reports whether a member may have requests in flight that an
// earlier holder granted and that this one does not know. It is false once
// every member has sent a sync with a stamp of this holder or counts as dead,
// and after recoveryLimit at the latest.
func (ho *holder) recovering(now time.Time) bool {
	if now.Sub(ho.since) > recoveryLimit {
		return false
	}
	return slices.ContainsFunc(ho.views().union(), func(name string) bool {
		co, found := ho.contacts[name]
		return (!found || co.lastSeen.IsZero()) && !ho.departed(now, name)
	})
}
