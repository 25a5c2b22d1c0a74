package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// replicaSettings are the settings of one replica process.
type replicaSettings struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	// Events is the number of events of a stream, GapMS the pause between them, and
	// FirstMS that before the first.
	Events  int `json:"events"`
	GapMS   int `json:"gap_ms"`
	FirstMS int `json:"first_ms"`
	// Unframed is set if answers have neither a length nor chunks.
	Unframed bool `json:"unframed"`
	// CutInside is the number of an event in the middle of which the replica ends a stream.
	// Zero means that it does not.
	CutInside int `json:"cut_inside"`
	// CutOneIn is how many streams there are for one that the replica ends so.
	CutOneIn int `json:"cut_one_in"`
	// BodyBytes is the size of an answer that is no stream, and PartMS the time in which
	// the replica writes it.
	BodyBytes int `json:"body_bytes"`
	PartMS    int `json:"part_ms"`
	// Terse is set if the replica writes no header fields into the record.
	Terse bool `json:"terse"`
}

// replica is a server of a service, as PROTOCOL.md describes it.
type replica struct {
	replicaSettings

	mu     sync.Mutex
	runs   map[string]*run
	copies map[string]bool
	// slots has a value for each stream that runs. Others wait.
	slots chan struct{}
	// begun is the number of streams that began.
	begun atomic.Int64
	out   *json.Encoder
}

// run is a stream that the replica works on.
type run struct {
	made int
	stop bool
	// cut is set if the replica breaks the stream off.
	cut bool
}

// line is one line of what a replica did.
type line struct {
	At      int64             `json:"at_ms"`
	Replica string            `json:"replica"`
	What    string            `json:"what"`
	Request string            `json:"request,omitempty"`
	Detail  string            `json:"detail,omitempty"`
	Fields  map[string]string `json:"fields,omitempty"`
}

// runReplica serves until the process is killed.
func runReplica(text string) error {
	re := &replica{runs: make(map[string]*run), copies: make(map[string]bool), out: json.NewEncoder(os.Stdout)}
	if err := json.Unmarshal([]byte(text), &re.replicaSettings); err != nil {
		return err
	}
	re.slots = make(chan struct{}, max(re.Slots, 1))
	ln, err := net.Listen("tcp4", re.Address)
	if err != nil {
		return err
	}
	re.say(line{What: "listens"})
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go re.serve(conn)
	}
}

func (re *replica) say(li line) {
	re.mu.Lock()
	defer re.mu.Unlock()
	li.At, li.Replica = time.Now().UnixMilli(), re.ID
	_ = re.out.Encode(li)
}

func (re *replica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	rd := bufio.NewReaderSize(conn, 64<<10)
	for {
		rq, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return
		}
		if !re.answer(conn, rq, body) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (re *replica) answer(conn net.Conn, rq *http.Request, body []byte) bool {
	id := rq.Header.Get("Request-Id")
	expected := rq.Header.Get("Expect-Replica")
	switch {
	case rq.URL.Path == "/healthz":
		return re.write(conn, "200 OK", "Replica-Id: "+re.ID+"\r\n", nil)
	case expected != "" && expected != re.ID:
		return re.write(conn, "421 Misdirected Request", "Request-Id: "+id+"\r\nReplica-Id: "+re.ID+"\r\n", nil)
	case strings.HasPrefix(rq.URL.Path, "/v1/"):
		return re.control(conn, rq, body)
	case id == "":
		return re.write(conn, "400 Bad Request", "Not-Executed: 1\r\n", nil)
	case strings.HasPrefix(rq.URL.Path, "/stream/"):
		return re.stream(conn, rq)
	default:
		return re.call(conn, rq)
	}
}

func (re *replica) write(conn net.Conn, status, fields string, body []byte) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
	return err == nil
}

// control answers a call of the control API: reports, and copies of runs.
func (re *replica) control(conn net.Conn, rq *http.Request, body []byte) bool {
	switch {
	case rq.URL.Path == "/v1/report":
		re.mu.Lock()
		runs := [][]any{}
		for id, ru := range re.runs {
			runs = append(runs, []any{id, 100 + ru.made, ru.made, 5})
		}
		re.mu.Unlock()
		data, _ := json.Marshal(map[string]any{"stage": "unified", "state": "ready", "busy": false, "in_flight": len(runs), "kv_used": 0, "kv_total": 34278, "handles": 0, "runs": runs})
		return re.write(conn, "200 OK", "Content-Type: application/json\r\n", data)
	case rq.URL.Path == "/v1/kv-move":
		return re.move(conn, body)
	case strings.HasPrefix(rq.URL.Path, "/v1/standin-copy/"):
		re.mu.Lock()
		re.copies[strings.TrimPrefix(rq.URL.Path, "/v1/standin-copy/")] = true
		re.mu.Unlock()
		return re.write(conn, "200 OK", "", nil)
	default:
		return re.write(conn, "200 OK", "", nil)
	}
}

// move copies a run to another replica, and stops it first if the call says so.
func (re *replica) move(conn net.Conn, body []byte) bool {
	var order struct {
		ID, Target string
		Last       bool
	}
	_ = json.Unmarshal(body, &order)
	re.mu.Lock()
	ru := re.runs[order.ID]
	made := 0
	if ru != nil {
		made, ru.stop = ru.made, ru.stop || order.Last
	}
	re.mu.Unlock()
	if ru == nil {
		return re.write(conn, "404 Not Found", "", []byte("{}"))
	}
	sendCopy(order.Target, "h-"+order.ID)
	re.say(line{What: "copied", Request: order.ID, Detail: fmt.Sprintf("to %s, last %v", order.Target, order.Last)})
	data, _ := json.Marshal(map[string]any{"handle": "h-" + order.ID, "created": made})
	return re.write(conn, "200 OK", "Content-Type: application/json\r\n", data)
}

// sendCopy sends the memory of a run to another replica.
func sendCopy(address, handle string) {
	an, err := http.Get("http://" + address + "/v1/standin-copy/" + handle)
	if err == nil {
		_ = an.Body.Close()
	}
}

// stream runs a request whose answer is a stream of events.
func (re *replica) stream(conn net.Conn, rq *http.Request) bool {
	id, from := rq.Header.Get("Request-Id"), rq.Header.Get("Kv-From")
	if _, handle, resumed := strings.Cut(from, "/"); resumed {
		re.mu.Lock()
		has := re.copies[handle]
		delete(re.copies, handle)
		re.mu.Unlock()
		if !has {
			return re.write(conn, "503 Service Unavailable", "Request-Id: "+id+"\r\nNot-Executed: 1\r\n", nil)
		}
	}
	last, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	number := re.begun.Add(1)
	ru := &run{made: last, cut: re.CutInside > 0 && number%int64(re.CutOneIn) == 0}
	re.mu.Lock()
	re.runs[id] = ru
	re.mu.Unlock()
	defer func() {
		re.mu.Lock()
		delete(re.runs, id)
		re.mu.Unlock()
	}()
	re.say(line{What: "begins", Request: id, Fields: re.fieldsOf(rq)})
	if backup := rq.Header.Get("Kv-Backup"); backup != "" {
		sendCopy(backup, id)
		re.say(line{What: "keeps a copy", Request: id, Detail: "at " + backup})
	}
	return re.writeStream(conn, id, ru)
}

// writeStream writes the events of a run and reports whether the connection stays open.
func (re *replica) writeStream(conn net.Conn, id string, ru *run) bool {
	framing := "Transfer-Encoding: chunked\r\n"
	if re.Unframed {
		framing = "Connection: close\r\n"
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nReplica-Signature: sig-%s-%s\r\n%s\r\n", id, re.ID, id, framing); err != nil {
		return false
	}
	re.slots <- struct{}{}
	defer func() { <-re.slots }()
	time.Sleep(time.Duration(re.FirstMS) * time.Millisecond)
	for next := ru.made + 1; next <= re.Events; next++ {
		if ru.stop {
			re.say(line{What: "stopped", Request: id})
			return false
		}
		event := re.event(id, next)
		cut := ru.cut && next == re.CutInside
		if cut {
			event = event[:len(event)/2]
		}
		if !re.writePart(conn, event) {
			re.say(line{What: "left by the gateway", Request: id, Detail: fmt.Sprint("at event ", next)})
			return false
		}
		if cut {
			re.say(line{What: "broke off", Request: id, Detail: fmt.Sprint("inside event ", next)})
			return re.endStream(conn)
		}
		re.mu.Lock()
		ru.made = next
		re.mu.Unlock()
		time.Sleep(time.Duration(re.GapMS) * time.Millisecond)
	}
	re.say(line{What: "completed", Request: id, Detail: fmt.Sprint(re.Events, " events")})
	return re.endStream(conn)
}

// event returns an event of a stream.
func (re *replica) event(id string, number int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: %s/%d\n\n", number, id, number)
}

func (re *replica) writePart(conn net.Conn, data []byte) bool {
	var err error
	if re.Unframed {
		_, err = conn.Write(data)
	} else {
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(data), data)
	}
	return err == nil
}

// endStream ends a stream in order.
func (re *replica) endStream(conn net.Conn) bool {
	if re.Unframed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// call runs a request whose answer is no stream.
func (re *replica) call(conn net.Conn, rq *http.Request) bool {
	id := rq.Header.Get("Request-Id")
	re.say(line{What: "begins", Request: id, Fields: re.fieldsOf(rq)})
	answer := bytes.Repeat([]byte("x"), re.BodyBytes)
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(answer))
	if re.Unframed {
		framing = "Connection: close\r\n"
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nReplica-Signature: sig-%s-%s\r\n%s\r\n", id, re.ID, id, framing); err != nil {
		return false
	}
	const parts = 10
	for ix := range parts {
		part := answer[ix*len(answer)/parts : (ix+1)*len(answer)/parts]
		if _, err := conn.Write(part); err != nil {
			return false
		}
		time.Sleep(time.Duration(re.PartMS/parts) * time.Millisecond)
	}
	if !re.Terse {
		re.say(line{What: "completed", Request: id})
	}
	return !re.Unframed
}

// fieldsOf returns the method, target and header fields of a request for the record.
func (re *replica) fieldsOf(rq *http.Request) map[string]string {
	if re.Terse {
		return nil
	}
	fields := map[string]string{"(line)": rq.Method + " " + rq.RequestURI, "(host)": rq.Host}
	for name, values := range rq.Header {
		fields[name] = strings.Join(values, " | ")
	}
	return fields
}

// replicaProcess is a replica in a process of its own.
type replicaProcess struct {
	replicaSettings
	cmd *exec.Cmd
}

// startReplica starts a replica, registers it in the store and writes what it does into a
// record.
func startReplica(st *store, rc *record, se replicaSettings) (*replicaProcess, error) {
	data, err := json.Marshal(se)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	rp := &replicaProcess{replicaSettings: se, cmd: exec.Command(self, "replica", string(data))}
	rp.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	rp.cmd.Stderr = os.Stderr
	out, err := rp.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := rp.cmd.Start(); err != nil {
		return nil, err
	}
	rd := bufio.NewReader(out)
	if _, err := rd.ReadString('\n'); err != nil {
		return nil, err
	}
	go rc.follow(rd)
	st.put("servers", se.ID, map[string]any{
		"service": se.Service, "address": se.Address, "zone": se.Zone, "version": "v1", "slots": se.Slots, "state": "ready", "cold_left_ms": 0,
		"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return rp, nil
}

// stop kills the process.
func (rp *replicaProcess) stop() {
	_ = rp.cmd.Process.Kill()
	_ = rp.cmd.Wait()
}
