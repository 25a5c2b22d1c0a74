package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	replica string
	id      string
	path    string
	tenant  string
	// from is the Kv-From of a run that goes on, last its Last-Event-Id.
	from string
	last int
	// begun and ended are when the replica worked on it. ended is zero while it does.
	begun, ended time.Time
	events       int
	how          string
}

// runs has the runs of all replicas, and the copies of their memory.
type runs struct {
	mu   sync.Mutex
	list []*run
	// copies maps "address/handle" to the request that the copy belongs to.
	copies map[string]string
	// totals maps a request to the number of events of its whole answer.
	totals map[string]int
}

func newRuns() *runs { return &runs{copies: make(map[string]string), totals: make(map[string]int)} }

// of returns copies of the runs of a request.
func (rs *runs) of(id string) []run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var list []run
	for _, ru := range rs.list {
		if ru.id == id {
			list = append(list, *ru)
		}
	}
	return list
}

// all returns copies of all runs.
func (rs *runs) all() []run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	list := make([]run, 0, len(rs.list))
	for _, ru := range rs.list {
		list = append(list, *ru)
	}
	return list
}

// replica is one replica of a service: a plain one, or an engine that streams events.
type replica struct {
	re      *record
	rs      *runs
	id      string
	service string
	zone    string
	engine  bool
	// born is the Unix millisecond of its start.
	born int64
	// work is the time of a plain request, step the time between two events.
	work, step time.Duration
	// events is the number of events of a whole answer.
	events int
	// unframed streams have neither a length nor chunks and end with their channel.
	unframed bool
	// crashesOn is a part of a prompt on which it crashes when it begins to write an answer.
	crashesOn string
	// keepsRunning is set if the replica goes on with a request whose channel was closed.
	keepsRunning bool

	ln net.Listener
	sv *http.Server

	mu      sync.Mutex
	state   string
	active  map[string]*active
	leaving bool
	// onMove is called before the answer to a kv-move. If it returns false, the channel is
	// reset in place of the answer.
	onMove func(last bool) bool
	// breakAt is called before each event; if it returns true, the replica breaks off the
	// answer there.
	breakAt func(id string, event int, from string) bool
	// turnAway is called before a request runs; if it returns a time, the answer is 503
	// with Not-Executed and Retry-After.
	turnAway func() (time.Duration, bool)
	// limit is the Server-Limit, empty for none.
	limit string
	// slots is the number of requests that it runs at once, zero for no bound, and queue
	// that of requests that it lets wait.
	slots, queue int
	// brittle is what it says in Server-Brittle from brittleFrom on. From contactTime later,
	// it lets none wait, and falls over if it has to turn more than brittle requests away in
	// a second. It is back after fallTime.
	brittle     int
	brittleFrom time.Time
	fallTime    time.Duration
	// onFall is called when it falls over, onBack when it is back.
	onFall, onBack func()
	turned         []time.Time
	waiting        int
	// fallen is closed when it falls over.
	fallen chan struct{}
	// copyTime is how long a kv-move takes.
	copyTime time.Duration
	arrivals []time.Time
}

// active is a run that the replica works on.
type active struct {
	run  *run
	stop chan struct{}
}

func (rp *replica) start(address string) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	rp.ln, rp.state, rp.active, rp.fallen = ln, "ready", make(map[string]*active), make(chan struct{})
	if rp.born == 0 {
		rp.born = time.Now().UnixMilli()
	}
	rp.sv = &http.Server{Handler: rp, IdleTimeout: 10 * time.Second}
	go func() { _ = rp.sv.Serve(ln) }()
	return nil
}

func (rp *replica) address() string { return rp.ln.Addr().String() }

// entry is its entry in the store.
func (rp *replica) entry(coldLeft time.Duration) map[string]any {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return map[string]any{
		"service": rp.service, "address": rp.address(), "zone": rp.zone, "version": "v1", "slots": 24, "state": rp.state,
		"cold_left_ms": coldLeft.Milliseconds(), "stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": 1, "born": rp.born,
	}
}

func (rp *replica) setState(state string) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.state = state
}

// ServeHTTP implements http.Handler.
func (rp *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rp.mu.Lock()
	state, leaving, limit := rp.state, rp.leaving, rp.limit
	rp.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if r.Header.Get("Request-Id") == "" {
		w.Header().Del("Request-Id")
	}
	w.Header()["Date"] = nil
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	if rp.isBrittle() {
		w.Header().Set("Server-Brittle", strconv.Itoa(rp.brittle))
	}
	if expect := r.Header.Get("Expect-Replica"); expect != "" && expect != rp.id {
		w.Header().Set("Replica-Id", rp.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	handle, isHandle := strings.CutPrefix(r.URL.Path, "/v1/kv-handle/")
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Replica-Id", rp.id)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case r.URL.Path == "/v1/report":
		rp.report(w)
	case r.URL.Path == "/v1/kv-move":
		rp.move(w, r)
	case isHandle:
		rp.rs.mu.Lock()
		for key := range rp.rs.copies {
			if strings.HasSuffix(key, "/"+handle) {
				delete(rp.rs.copies, key)
			}
		}
		rp.rs.mu.Unlock()
	default:
		rp.serve(w, r)
	}
}

func (rp *replica) report(w http.ResponseWriter) {
	rp.mu.Lock()
	list := []any{}
	rp.rs.mu.Lock()
	for id, ac := range rp.active {
		list = append(list, []any{id, 1000, ac.run.events, 5})
	}
	rp.rs.mu.Unlock()
	state := rp.state
	rp.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "unified", "models": []any{}, "busy": false, "seq": 1, "queued": 0, "in_flight": len(list), "kv_used": 1000 * len(list), "kv_total": 34278, "handles": 0,
		"state": state, "runs": list, "born": rp.born,
	})
}

// reset ends a channel with a reset.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tc, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tc.SetLinger(0)
	}
	_ = conn.Close()
}

func (rp *replica) move(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rp.mu.Lock()
	ac := rp.active[order.ID]
	onMove, copyTime := rp.onMove, rp.copyTime
	rp.mu.Unlock()
	if ac == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	rp.re.logf("replica %s: kv-move of %s to %s, last %v", rp.id, order.ID, order.Target, order.Last)
	if order.Last {
		rp.mu.Lock()
		select {
		case <-ac.stop:
		default:
			close(ac.stop)
		}
		rp.mu.Unlock()
	}
	if onMove != nil && !onMove(order.Last) {
		rp.re.logf("replica %s: the answer to the kv-move of %s is lost (reset)", rp.id, order.ID)
		reset(w)
		return
	}
	time.Sleep(copyTime)
	handle := "h" + order.ID
	rp.rs.mu.Lock()
	rp.rs.copies[order.Target+"/"+handle] = order.ID
	rp.rs.copies[rp.address()+"/"+handle] = order.ID
	events := ac.run.events
	rp.rs.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": events})
}

// takeCopy uses a copy of a request's memory up.
func (rp *replica) takeCopy(from, id string) bool {
	rp.rs.mu.Lock()
	defer rp.rs.mu.Unlock()
	if rp.rs.copies[from] != id {
		return false
	}
	_, handle, _ := strings.Cut(from, "/")
	for key := range rp.rs.copies {
		if strings.HasSuffix(key, "/"+handle) {
			delete(rp.rs.copies, key)
		}
	}
	return true
}

func (rp *replica) serve(w http.ResponseWriter, r *http.Request) {
	id, from := r.Header.Get("Request-Id"), r.Header.Get("Kv-From")
	rp.mu.Lock()
	rp.arrivals = append(rp.arrivals, time.Now())
	turnAway := rp.turnAway
	rp.mu.Unlock()
	if turnAway != nil {
		if pause, away := turnAway(); away {
			rp.re.logf("replica %s: turns %s away, 503 Not-Executed, Retry-After %.1f", rp.id, id, pause.Seconds())
			w.Header().Set("Not-Executed", "1")
			w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 1, 64))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	switch rp.takePlace(r.Context(), id) {
	case turnedAway:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case leftQueue:
		return
	case placeTaken:
	}
	if from != "" && !rp.takeCopy(from, id) {
		rp.re.logf("replica %s: no copy %s for %s, 503", rp.id, from, id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	ru := &run{replica: rp.id, id: id, path: r.URL.Path, tenant: r.Header.Get("Tenant"), from: from, last: last, begun: time.Now(), events: last}
	rp.rs.mu.Lock()
	rp.rs.list = append(rp.rs.list, ru)
	rp.rs.mu.Unlock()
	rp.re.logf("replica %s: runs %s, path %s, tenant %q, Kv-From %q, Last-Event-Id %d, Kv-Backup %q", rp.id, id, ru.path, ru.tenant, from, last, r.Header.Get("Kv-Backup"))
	w.Header().Set("Replica-Signature", "sig."+rp.id+"."+id)
	if rp.engine {
		rp.stream(w, r, ru)
	} else {
		rp.answer(w, r, ru)
	}
	rp.rs.mu.Lock()
	ru.ended = time.Now()
	rp.rs.mu.Unlock()
	rp.re.logf("replica %s: its run of %s ends after event %d: %s", rp.id, id, ru.events, ru.how)
}

// contactTime is contact_ms.
const contactTime = 3 * time.Second

// isBrittle reports whether it says that it is brittle.
func (rp *replica) isBrittle() bool { return rp.brittle > 0 && time.Now().After(rp.brittleFrom) }

// place is what becomes of a request that arrives.
type place int

const (
	placeTaken place = iota
	turnedAway
	leftQueue
)

// takePlace takes a place for a request, after it has waited in the queue if need be. If
// there is no room, the request is turned away, and a brittle replica may fall over.
func (rp *replica) takePlace(ctx context.Context, id string) place {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if rp.slots == 0 {
		return placeTaken
	}
	fallen := rp.fallen
	for first := true; len(rp.active) >= rp.slots; first = false {
		if first {
			queue := rp.queue
			if rp.isBrittle() && time.Since(rp.brittleFrom) > contactTime {
				queue = 0
			}
			if rp.waiting >= queue {
				rp.turnAwayFull(id)
				return turnedAway
			}
			rp.waiting++
			defer func() { rp.waiting-- }()
		}
		rp.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-fallen:
		case <-time.After(5 * time.Millisecond):
		}
		rp.mu.Lock()
		if ctx.Err() != nil || fallen != rp.fallen {
			return leftQueue
		}
	}
	rp.active[id] = &active{run: &run{id: id}, stop: make(chan struct{})}
	return placeTaken
}

// turnAwayFull counts a request that is turned away for want of room. The caller holds mu.
func (rp *replica) turnAwayFull(id string) {
	now := time.Now()
	rp.turned = append(rp.turned, now)
	for len(rp.turned) > 0 && now.Sub(rp.turned[0]) > time.Second {
		rp.turned = rp.turned[1:]
	}
	rp.re.logf("replica %s: turns %s away, all %d slots are in use and %d wait (%d turned away within a second)", rp.id, id, rp.slots, rp.waiting, len(rp.turned))
	if rp.isBrittle() && time.Since(rp.brittleFrom) > contactTime && len(rp.turned) > rp.brittle {
		rp.turned = nil
		go rp.fall()
	}
}

// fall ends the replica's process. It is back after fallTime.
func (rp *replica) fall() {
	rp.mu.Lock()
	select {
	case <-rp.fallen:
		rp.mu.Unlock()
		return
	default:
	}
	close(rp.fallen)
	address, running := rp.ln.Addr().String(), len(rp.active)
	rp.mu.Unlock()
	rp.re.logf("replica %s: FALLS OVER, with %d requests", rp.id, running)
	_ = rp.sv.Close()
	if rp.onFall != nil {
		rp.onFall()
	}
	time.Sleep(rp.fallTime)
	rp.mu.Lock()
	rp.born = 0
	if rp.brittle > 0 {
		// It says so anew.
		rp.brittleFrom = time.Now()
	}
	rp.mu.Unlock()
	if err := rp.start(address); err != nil {
		rp.re.logf("replica %s: does not start again: %v", rp.id, err)
		return
	}
	rp.re.logf("replica %s: is back", rp.id)
	if rp.onBack != nil {
		rp.onBack()
	}
}

// answer runs a plain request.
func (rp *replica) answer(w http.ResponseWriter, r *http.Request, ru *run) {
	select {
	case <-time.After(rp.work):
	case <-r.Context().Done():
		if !rp.keepsRunning {
			ru.how = "its channel was closed"
			return
		}
	}
	ru.how = "answered"
	body := "done " + ru.id
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// stream runs a generation. Its channel carries nothing after it.
func (rp *replica) stream(w http.ResponseWriter, r *http.Request, ru *run) {
	stop := make(chan struct{})
	rp.mu.Lock()
	rp.active[ru.id] = &active{run: ru, stop: stop}
	breakAt, fallen := rp.breakAt, rp.fallen
	rp.mu.Unlock()
	defer func() {
		rp.mu.Lock()
		defer rp.mu.Unlock()
		if ac := rp.active[ru.id]; ac != nil && ac.stop == stop {
			delete(rp.active, ru.id)
		}
	}()
	rp.rs.mu.Lock()
	if standby := r.Header.Get("Kv-Backup"); standby != "" {
		rp.rs.copies[standby+"/"+ru.id] = ru.id
	}
	rp.rs.totals[ru.id] = rp.events
	rp.rs.mu.Unlock()
	signature, leaving := w.Header().Get("Replica-Signature"), w.Header().Get("Server-Leaving")
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		ru.how = err.Error()
		return
	}
	defer func() { _ = conn.Close() }()
	gone := make(chan struct{})
	go func() {
		_, _ = bufio.NewReader(conn).ReadByte()
		close(gone)
	}()
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + ru.id + "\r\nReplica-Signature: " + signature + "\r\nConnection: close\r\n"
	if leaving != "" {
		head += "Server-Leaving: 1\r\n"
	}
	if rp.isBrittle() {
		head += "Server-Brittle: " + strconv.Itoa(rp.brittle) + "\r\n"
	}
	if !rp.unframed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	send := func(text string) {
		if !rp.unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, _ = rw.WriteString(text)
		_ = rw.Flush()
	}
	_, _ = rw.WriteString(head + "\r\n")
	_ = rw.Flush()
	var closed <-chan struct{} = gone
	if rp.crashesOn != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), rp.crashesOn+":") {
		go rp.fall()
	}
	for ix := ru.last + 1; ix <= rp.events; ix++ {
		switch rp.makeEvent(stop, closed) {
		case runStopped:
			ru.how = "stopped for a move; its stream is closed without its end"
			return
		case channelClosed:
			if !rp.keepsRunning {
				ru.how = "its channel was closed"
				return
			}
			rp.re.logf("replica %s: the channel of %s is closed; it goes on", rp.id, ru.id)
			closed = nil
		case eventMade:
		}
		select {
		case <-fallen:
			ru.how = "the replica fell over"
			if tc, isTCP := conn.(*net.TCPConn); isTCP {
				_ = tc.SetLinger(0)
			}
			return
		default:
		}
		if closed != nil && breakAt != nil && breakAt(ru.id, ix, ru.from) {
			rp.re.logf("replica %s: the answer to %s is lost from event %d on (reset)", rp.id, ru.id, ix)
			if tc, isTCP := conn.(*net.TCPConn); isTCP {
				_ = tc.SetLinger(0)
			}
			_ = conn.Close()
			if !rp.keepsRunning {
				ru.how = "its answer was lost"
				return
			}
			closed = nil
		}
		if closed != nil {
			send(eventText(ru.id, ix))
		}
		rp.rs.mu.Lock()
		ru.events = ix
		rp.rs.mu.Unlock()
	}
	ru.how = "complete"
	if closed != nil && !rp.unframed {
		_, _ = rw.WriteString("0\r\n\r\n")
		_ = rw.Flush()
	}
}

// outcome is what came of one event.
type outcome int

const (
	eventMade outcome = iota
	runStopped
	channelClosed
)

// tokensPerEvent is the number of tokens in an event, each of which takes a step.
const tokensPerEvent = 4

// makeEvent makes the tokens of one event. A run that is to be stopped ends with the step
// that it is in.
func (rp *replica) makeEvent(stop, closed <-chan struct{}) outcome {
	for range tokensPerEvent {
		select {
		case <-closed:
			return channelClosed
		case <-time.After(rp.step / tokensPerEvent):
		}
		select {
		case <-stop:
			return runStopped
		default:
		}
	}
	return eventMade
}

func eventText(id string, ix int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", ix, id, ix)
}
