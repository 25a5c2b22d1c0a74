package reservation

import "time"

const (
	// returnedLifetime is the time for which a refused request is remembered, in which
	// its caller may return. maxReturned limits their number;
	// further ones come back as new requests.
	returnedLifetime = 10 * time.Second
	maxReturned      = 4096
	// returnedLead puts requests that return before all new ones of their team.
	returnedLead = time.Hour
)

// returned has the requests that were refused recently, by their keys.
type returned map[uint64]refusedRequest

// refusedRequest is a request whose caller may return.
type refusedRequest struct {
	// startBy is when it had to get an engine to be on time, at its first attempt.
	startBy time.Duration
	until   time.Duration
}

// add remembers a request that is refused.
func (rs returned) add(key uint64, startBy, now time.Duration) {
	if len(rs) >= maxReturned {
		for other, re := range rs {
			if now > re.until {
				delete(rs, other)
			}
		}
	}
	if before, known := rs.find(key, now); known {
		startBy = min(startBy, before.startBy)
	}
	if key != 0 && len(rs) < maxReturned {
		rs[key] = refusedRequest{startBy: startBy, until: now + returnedLifetime}
	}
}

// find returns what is remembered of a request, and whether there is something.
func (rs returned) find(key uint64, now time.Duration) (refusedRequest, bool) {
	re, known := rs[key]
	return re, known && now <= re.until
}
