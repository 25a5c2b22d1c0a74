package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a replica.
type arrival struct {
	at      time.Time
	request string
	replica string
	// tenant and credential are the header fields Tenant and Authorization.
	tenant, credential string
	// run is set if the replica began it, done if it ended it.
	run, done bool
}

// replica is a stand-in of a replica of a plain service.
type replica struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	rc                         *record
	st                         *store

	mu    sync.Mutex
	state string
	seq   int
	// queued counts the requests that wait or run.
	queued   int
	arrivals []*arrival
	free     chan struct{}
	server   http.Server
	exited   chan struct{}
	born     int64
	// crashingPart is a part of a prompt on which the replica crashes when it begins to write an
	// answer. onCrash is called then, with the request.
	crashingPart string
	onCrash      func(ar *arrival)
}

// queueLength is the number of requests that a replica lets wait.
const queueLength = 24

func newReplica(st *store, rc *record, ip, service, id, zone string, work time.Duration) *replica {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		fail("replica: %v", err)
	}
	rp := &replica{
		id: id, service: service, zone: zone, address: ln.Addr().String(), slots: 6, work: work, rc: rc, st: st, state: "ready",
		free: make(chan struct{}, 6), exited: make(chan struct{}), born: time.Now().UnixMilli(),
	}
	rp.server.Handler = http.HandlerFunc(rp.serve)
	rp.server.IdleTimeout = 10 * time.Second
	go func() { _ = rp.server.Serve(ln) }()
	return rp
}

// register writes the entry of the replica and returns when the store has accepted it.
func (rp *replica) register() time.Time {
	rp.mu.Lock()
	rp.seq++
	spec := map[string]any{
		"service": rp.service, "address": rp.address, "zone": rp.zone, "version": "v1", "slots": rp.slots, "state": rp.state,
		"cold_left_ms": 0, "seq": rp.seq, "born": rp.born,
	}
	rp.mu.Unlock()
	return rp.st.put("servers", rp.id, spec)
}

func (rp *replica) setState(state string) time.Time {
	rp.mu.Lock()
	rp.state = state
	rp.mu.Unlock()
	return rp.register()
}

// exit ends the replica at once, with all its connections.
func (rp *replica) exit() {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if !rp.isRunning() {
		return
	}
	close(rp.exited)
	_ = rp.server.Close()
}

func (rp *replica) isRunning() bool {
	select {
	case <-rp.exited:
		return false
	default:
		return true
	}
}

func (rp *replica) serve(w http.ResponseWriter, re *http.Request) {
	if want := re.Header.Get("Expect-Replica"); want != "" && want != rp.id {
		w.Header().Set("Replica-Id", rp.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rp.mu.Lock()
	leaving := rp.state != "ready"
	rp.mu.Unlock()
	health := re.URL.Path == "/healthz"
	id := re.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if health {
		w.Header().Del("Request-Id")
		w.Header().Set("Replica-Id", rp.id)
		w.WriteHeader(map[bool]int{true: 503, false: 200}[leaving])
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(400)
		return
	}
	ar := &arrival{at: time.Now(), request: id, replica: rp.id, tenant: re.Header.Get("Tenant"), credential: re.Header.Get("Authorization")}
	rp.mu.Lock()
	rp.arrivals = append(rp.arrivals, ar)
	full := rp.queued >= rp.slots+queueLength
	if !full {
		rp.queued++
	}
	rp.mu.Unlock()
	rp.rc.lineAt(ar.at, "%s reaches %s, Tenant %q, Authorization %q", id, rp.id, ar.tenant, ar.credential)
	if leaving {
		w.Header().Set("Connection", "close")
	}
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	select {
	case rp.free <- struct{}{}:
	case <-re.Context().Done():
		rp.mu.Lock()
		rp.queued--
		rp.mu.Unlock()
		return
	}
	rp.mu.Lock()
	ar.run = true
	rp.mu.Unlock()
	if strings.HasPrefix(re.URL.Path, guidePrefix) {
		rp.stream(re, w, ar)
	} else {
		rp.run(re.Context(), w, ar)
	}
	<-rp.free
	rp.mu.Lock()
	rp.queued--
	rp.mu.Unlock()
}

// run runs a request and answers it, unless the replica exits meanwhile.
func (rp *replica) run(ctx context.Context, w http.ResponseWriter, ar *arrival) {
	rp.rc.line("%s runs %s", rp.id, ar.request)
	select {
	case <-time.After(rp.work):
	case <-rp.exited:
		rp.rc.line("%s exits while it runs %s", rp.id, ar.request)
		return
	}
	rp.mu.Lock()
	ar.done = true
	rp.mu.Unlock()
	body := fmt.Sprintf("done %s at %s", ar.request, rp.id)
	w.Header().Set("Replica-Signature", "s."+rp.id+"."+ar.request)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(200)
	_, _ = w.Write([]byte(body))
}

const (
	guidePrefix = "/guide/"
	// readTime is the time until a model replica begins to write an answer, which has
	// streamEvents events.
	readTime     = 150 * time.Millisecond
	streamEvents = 100
	eventTime    = 30 * time.Millisecond
)

// stream answers a request with a stream of events, unless its prompt has the part on which the
// replica crashes.
func (rp *replica) stream(re *http.Request, w http.ResponseWriter, ar *arrival) {
	rp.rc.line("%s runs %s, prompt %s", rp.id, ar.request, re.Header.Get("Prompt-Prefix"))
	select {
	case <-time.After(readTime):
	case <-rp.exited:
		return
	case <-re.Context().Done():
		return
	}
	parts := strings.Split(re.Header.Get("Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); id == rp.crashingPart && rp.crashingPart != "" {
			rp.rc.line("%s crashes as it begins to write the answer to %s", rp.id, ar.request)
			rp.exit()
			rp.onCrash(ar)
			return
		}
	}
	w.Header().Set("Replica-Signature", "s."+rp.id+"."+ar.request)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	for number := range streamEvents {
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", number+1, ar.request, number+1)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(eventTime):
		case <-rp.exited:
			return
		case <-re.Context().Done():
			return
		}
	}
	rp.mu.Lock()
	ar.done = true
	rp.mu.Unlock()
}

// arrivalsAfter returns the requests that reached the replica after a time.
func (rp *replica) arrivalsAfter(at time.Time) []arrival {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	var list []arrival
	for _, ar := range rp.arrivals {
		if ar.at.After(at) {
			list = append(list, *ar)
		}
	}
	return list
}
