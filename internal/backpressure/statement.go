package backpressure

import (
	"time"

	"filbertstall.example/filbertstall/internal/roster"
)

// Statement is what an endpoint has said, as instances tell it to each other. A
// pause is not part of it, because an endpoint asks each instance for its own.
type Statement struct {
	Endpoint string
	// Started is the start time of the endpoint, as in roster.Endpoint.
	Started int64
	Limit   Limit
	Leaving bool
	Brittle bool
	// Age is how long ago the endpoint said so.
	Age time.Duration
}

// tellPeriod is the time for which a statement is repeated to other instances after
// it has changed. Messages between instances may get lost.
const tellPeriod = 2500 * time.Millisecond

// maxTold limits the statements in one message.
const maxTold = 256

// Changed returns the statements that endpoints made to this instance and that
// changed within the last tellPeriod, and whether there are new ones since the
// last call.
func (re *Registry) Changed() (list []Statement, unsent bool) {
	now := re.Boot.Now()
	re.mu.Lock()
	defer re.mu.Unlock()
	for id, ne := range re.news {
		if now-ne.at > tellPeriod {
			delete(re.news, id)
			continue
		}
		if len(list) < maxTold {
			list = append(list, Statement{Endpoint: id, Started: ne.started, Limit: ne.limit, Leaving: ne.leaving, Brittle: ne.brittle, Age: now - ne.at})
		}
	}
	unsent, re.unsent = re.unsent, false
	return list, unsent
}

// news has a statement that other instances are told.
type news struct {
	started int64
	limit   Limit
	leaving bool
	brittle bool
	at      time.Duration
}

// announce notes a change for other instances. The caller must hold mu.
func (re *Registry) announce(id string, st state) {
	if re.news == nil {
		re.news = make(map[string]news)
	}
	re.news[id] = news{started: st.started, limit: st.limit, leaving: st.leaving, brittle: st.brittle, at: re.Boot.Now()}
	re.unsent = true
	select {
	case re.Changes <- struct{}{}:
	default:
	}
}

// Merge records statements that endpoints made to another instance. A statement
// that is older than what is known of the endpoint tells only that it leaves.
func (re *Registry) Merge(list []Statement) {
	for _, sm := range list {
		re.mergeOne(sm)
	}
}

func (re *Registry) mergeOne(sm Statement) {
	now := re.Boot.Now()
	at := now - max(sm.Age, 0)
	en := roster.Endpoint{ID: sm.Endpoint, Started: sm.Started}
	re.update(en, func(st state) state {
		// An endpoint does not stop leaving.
		st.leaving = st.leaving || sm.Leaving
		// The statement may be older than the machine, so that at is below zero.
		if st.observedAt > at && st.observedAt != 0 {
			return st
		}
		st.setLimit(sm.Limit, at)
		st.brittle = sm.Brittle
		return st
	}, false)
}
