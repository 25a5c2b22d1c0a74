package allocation

import (
	"fmt"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/clocktest"
	"filbertstall.example/filbertstall/internal/endpoint"
)

// machine is one endpoint. It is cold until it has produced warmTokens tokens
// since its start.
type machine struct {
	wo      *world
	name    string
	boot    int
	running int
	tokens  int
	started int64
	down    bool
	crashed chan struct{}
	samples []sample
	crashes int
}

type sample struct {
	at   time.Time
	load endpoint.Load
}

// crashFlag marks the fingerprints of requests that crash the endpoint.
const crashFlag = 1 << 40

// run runs a request at the machine and checks that the machine has the
// capacity for it.
func (ma *machine) run(gr *admission.Grant, runs time.Duration) admission.Result {
	crashed, begun := ma.begin()
	if !begun {
		return admission.NotBegun
	}
	if gr.Request.Fingerprint&crashFlag != 0 {
		time.Sleep(50 * time.Millisecond)
		ma.crash()
		return admission.Lost
	}
	for end := time.Now().Add(runs); time.Now().Before(end); {
		select {
		case <-crashed:
			return admission.Lost
		case <-clocktest.New().After(min(stepTime, time.Until(end))):
			ma.step(gr, crashed)
		}
	}
	ma.wo.mu.Lock()
	defer ma.wo.mu.Unlock()
	if ma.crashed != crashed {
		return admission.Lost
	}
	ma.recordSample()
	ma.running--
	return admission.Completed
}

// begin starts a request. It records a violation if the machine exceeds its
// capacity or was closed more than closeGrace ago.
func (ma *machine) begin() (crashed chan struct{}, begun bool) {
	wo := ma.wo
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if ma.down {
		return nil, false
	}
	ma.recordSample()
	ma.running++
	ma.started++
	capacity := sequences
	if ma.tokens < warmTokens {
		capacity = cold
	}
	if ma.running > capacity {
		wo.recordViolation("%s runs %d requests with a capacity of %d, boot %d", ma.name, ma.running, capacity, ma.boot)
	}
	if at, closed := wo.closedAt[ma.name]; closed && time.Since(at) > closeGrace {
		wo.recordViolation("%s got work %s after it was closed", ma.name, time.Since(at))
	}
	return ma.crashed, true
}

// step produces the next tokens of one request.
func (ma *machine) step(gr *admission.Grant, crashed chan struct{}) {
	ma.wo.mu.Lock()
	defer ma.wo.mu.Unlock()
	if ma.crashed == crashed {
		ma.tokens += stepTokens
		gr.Tokens.Add(stepTokens)
	}
}

// crash ends all running requests. The machine is back after five seconds,
// cold.
func (ma *machine) crash() {
	ma.wo.mu.Lock()
	defer ma.wo.mu.Unlock()
	if ma.down {
		return
	}
	ma.recordSample()
	ma.crashes++
	ma.down, ma.running, ma.tokens = true, 0, 0
	ma.boot++
	close(ma.crashed)
	ma.crashed = make(chan struct{})
	time.AfterFunc(5*time.Second, func() {
		ma.wo.mu.Lock()
		defer ma.wo.mu.Unlock()
		ma.down = false
	})
}

// recordSample stores the load before a change, so that reports can lag.
func (ma *machine) recordSample() {
	ma.samples = append(ma.samples, sample{at: time.Now(), load: ma.load()})
}

func (ma *machine) load() endpoint.Load {
	return endpoint.Load{
		BootID: fmt.Sprint(ma.boot), Running: ma.running, StartedTotal: ma.started,
		MemoryUsed: ma.running * 100, MemoryTotal: 1 << 20,
	}
}
