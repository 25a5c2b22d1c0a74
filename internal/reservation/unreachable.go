package reservation

import "time"

const (
	// minReports is the number of instances that say that they can't reach an engine from
	// which on no request gets it. If only one says so, its own connection may be broken.
	minReports = 2
	// reportLifetime is the time for which such a report counts. It is the shortest
	// back-off that instances that tried again would take.
	reportLifetime = 1200 * time.Millisecond
)

// reports has which instances could not reach which engines recently, by engine. The caller
// must hold the allocator's mutex.
type reports map[string]map[string]time.Duration

// add records that an instance can't reach some engines.
func (rs reports) add(from string, engines []string, now time.Duration) {
	for _, id := range engines {
		if rs[id] == nil {
			rs[id] = make(map[string]time.Duration)
		}
		rs[id][from] = now + reportLifetime
	}
}

// unreachable returns the engines that several instances can't reach.
func (rs reports) unreachable(now time.Duration) []string {
	var ids []string
	for id, by := range rs {
		for from, until := range by {
			if now > until {
				delete(by, from)
			}
		}
		if len(by) == 0 {
			delete(rs, id)
		}
		if len(by) >= minReports {
			ids = append(ids, id)
		}
	}
	return ids
}
