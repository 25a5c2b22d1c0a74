// Package trace finds in the logs of instances what happened to one request: the
// request's own lines, and lines about its instance and its endpoints that were
// logged between 5 s before the first of its own lines and the last of them.
//
// # Usage
//
//	tr, err := trace.Read(file, "9c41d07be2a35f68")
//	for _, li := range tr.Lines { fmt.Println(li) }
//	fmt.Println(tr.Cause())
//
// CountEndings counts how all generations ended, which shows what to
// investigate:
//
//	rows, err := trace.CountEndings(file)
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one structured log line.
type Line struct {
	// Time is in Unix milliseconds, by the clock of the instance.
	Time     int64  `json:"time"`
	Instance string `json:"instance"`
	Event    string `json:"event"`
	Request  string `json:"request"`
	Endpoint string `json:"endpoint"`
	Target   string `json:"target"`
	// Version is that of the endpoint, and State that of a roll-out.
	Version string `json:"endpoint_version"`
	State   string `json:"state"`
	// To is the instance that a request was forwarded to, and Forwarded is set if the line
	// is about an answer that came from there.
	To        string `json:"to"`
	Forwarded bool   `json:"forwarded"`
	Reason    string `json:"reason"`
	Outcome   string `json:"outcome"`
	How       string `json:"how"`
	Kind      string `json:"kind"`
	Cause     string `json:"cause"`
	Error     string `json:"error"`
	Detail    string `json:"detail"`
	Zone      string `json:"zone"`
	Events    int    `json:"events"`
	// Allocator is the instance that granted an engine, and Waited the time until then,
	// in milliseconds.
	Allocator string  `json:"allocator"`
	Waited    float64 `json:"waited"`
	// Arrived and Sent are when a request that a shutdown cut came and was sent to an
	// endpoint, in milliseconds since the beginning of the shutdown.
	Arrived float64 `json:"arrived"`
	Sent    float64 `json:"sent"`
	// Rate is a rate limit in requests per second.
	Rate    float64 `json:"rate"`
	Message string  `json:"message"`
	// Raw is the JSON text of the line.
	Raw string `json:"-"`
}

// String returns the line in a form for human readers.
func (li Line) String() string {
	at := time.UnixMilli(li.Time).UTC().Format("15:04:05.000")
	parts := []string{at, li.Instance, li.Event}
	for _, fi := range []struct{ name, value string }{
		{"endpoint", li.Endpoint}, {"version", li.Version}, {"target", li.Target}, {"state", li.State}, {"to", li.To}, {"reason", li.Reason}, {"outcome", li.Outcome}, {"how", li.How},
		{"kind", li.Kind}, {"detail", li.Detail}, {"cause", li.Cause}, {"error", li.Error},
	} {
		if fi.value != "" {
			parts = append(parts, fi.name+"="+fi.value)
		}
	}
	if li.Allocator != "" {
		parts = append(parts, fmt.Sprintf("allocator=%s waited=%.0fms", li.Allocator, li.Waited))
	}
	if li.Rate > 0 {
		parts = append(parts, fmt.Sprintf("rate=%g", li.Rate))
	}
	return strings.Join(parts, " ")
}

// Trace is the part of the logs that concerns one request.
type Trace struct {
	Request string
	// Lines are sorted by time.
	Lines []Line
}

const (
	// lookBack is the time before the first line of a request from which lines
	// about its instance and endpoints are included.
	lookBack = 5 * time.Second
	// maxLineBytes limits one line of a log.
	maxLineBytes = 1 << 20
)

// contextEvents are the events about endpoints and instances that can explain the
// failure of a request.
var contextEvents = map[string]bool{
	"endpoint_leaves": true, "endpoint_gone": true, "endpoint_held": true, "crash_suspected": true, "dependency_lost": true,
	"dependency_regained": true, "engine_leaves": true, "reader_left": true, "configuration": true, "evacuations": true, "stopping": true, "stop_cuts": true,
	"log_dropped": true, "endpoint_limited": true, "endpoint_limit_ended": true, "endpoint_retry_after": true, "endpoint_leaving": true,
	"rollout_ordered": true, "rollout_stage": true, "rollout_verdict": true, "rollout_halted": true, "rollout_bad": true, "rollout_completed": true, "rollout_rolled_back": true,
	"path_lost": true, "path_back": true, "part_blamed": true, "request_blamed": true, "endpoint_brittle": true,
}

// standingEvents are those of contextEvents after which something holds until the
// next one of the same endpoint. The newest of them is included however old it is.
var standingEvents = map[string]bool{"endpoint_limited": true, "endpoint_limit_ended": true, "endpoint_leaving": true}

// Read reads logs and returns the trace of a request. It skips lines that are not
// structured log lines, and any prefix before the first brace of a line.
func Read(logs io.Reader, request string) (Trace, error) {
	tr := Trace{Request: request}
	var others []Line
	sc := bufio.NewScanner(logs)
	sc.Buffer(make([]byte, 0, maxLineBytes/16), maxLineBytes)
	for sc.Scan() {
		li, found := parse(sc.Bytes())
		switch {
		case !found:
		case li.Request == request:
			tr.Lines = append(tr.Lines, li)
		case contextEvents[li.Event]:
			others = append(others, li)
		}
	}
	if err := sc.Err(); err != nil {
		return tr, fmt.Errorf("trace: %w", err)
	}
	tr.addContext(others)
	slices.SortStableFunc(tr.Lines, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	return tr, nil
}

func parse(text []byte) (Line, bool) {
	var li Line
	start := bytes.IndexByte(text, '{')
	if start < 0 || json.Unmarshal(text[start:], &li) != nil || li.Event == "" {
		return li, false
	}
	li.Raw = string(text[start:])
	return li, true
}

// addContext adds those of others that the request's instances logged about
// themselves or about the request's endpoints shortly before or during the request.
func (tr *Trace) addContext(others []Line) {
	if len(tr.Lines) == 0 {
		return
	}
	first, last := tr.Lines[0].Time, tr.Lines[0].Time
	instances, endpoints := make(map[string]bool), make(map[string]bool)
	for _, li := range tr.Lines {
		first, last = min(first, li.Time), max(last, li.Time)
		instances[li.Instance] = true
		endpoints[li.Endpoint], endpoints[li.Target] = true, true
	}
	delete(endpoints, "")
	standing := make(map[string]Line)
	for _, li := range others {
		if li.Time > last || !instances[li.Instance] || li.Endpoint != "" && !endpoints[li.Endpoint] {
			continue
		}
		if li.Time >= first-lookBack.Milliseconds() {
			tr.Lines = append(tr.Lines, li)
			continue
		}
		if key := li.Instance + "/" + li.Endpoint; standingEvents[li.Event] && li.Time >= standing[key].Time {
			standing[key] = li
		}
	}
	for _, li := range standing {
		tr.Lines = append(tr.Lines, li)
	}
}

// Cause describes in one sentence how the request ended, by the last of its lines
// that tells an ending.
func (tr Trace) Cause() string {
	for ix := len(tr.Lines) - 1; ix >= 0; ix-- {
		li := tr.Lines[ix]
		if li.Request != tr.Request || li.Forwarded && tr.brokeElsewhere() {
			continue
		}
		switch li.Event {
		case "delivered":
			return "The stream was delivered whole."
		case "refused":
			return fmt.Sprintf("The instance refused it: %s (%s); %s.", li.Reason, li.Outcome, li.Detail)
		case "stream_broken":
			return "The stream broke at " + li.Endpoint + ": " + li.Cause + tr.breakDetail(li) + tr.forwardDetail() + "."
		case "shutdown_cut":
			return fmt.Sprintf("The instance stopped before the answer was whole. The request came %+.0f ms and was sent %+.0f ms after the beginning of the shutdown.", li.Arrived, li.Sent)
		case "stream_given_up":
			return "The caller left, or its time was over, while the stream ran at " + li.Endpoint + "."
		}
	}
	return "The logs do not say how it ended; a plain call that was answered has no line."
}

// brokeElsewhere reports whether the instance that served a forwarded request logged that
// its stream broke or that the caller left.
func (tr Trace) brokeElsewhere() bool {
	return slices.ContainsFunc(tr.Lines, func(li Line) bool {
		return !li.Forwarded && (li.Event == "stream_broken" || li.Event == "stream_given_up")
	})
}

// forwardDetail tells which instance forwarded the request, if one did.
func (tr Trace) forwardDetail() string {
	text := ""
	for _, li := range tr.Lines {
		if li.Event == "forwarded" {
			text = "; " + li.Instance + " had forwarded the request to " + li.To
		}
	}
	return text
}

// breakDetail describes the events before line end, which reports a broken stream:
// whether the endpoint was already draining or removed, and why a migration failed.
func (tr Trace) breakDetail(end Line) string {
	text := ""
	for _, li := range tr.Lines {
		if li.Time > end.Time {
			break
		}
		switch {
		case (li.Event == "endpoint_leaves" || li.Event == "endpoint_gone") && li.Endpoint == end.Endpoint:
			text = fmt.Sprintf("; the endpoint had left %d ms before", end.Time-li.Time)
		case li.Event == "copy_failed" || li.Event == "move_failed":
			text += "; a move to " + li.Target + " failed: " + li.Error
		case li.Event == "move_without_target":
			text += "; no engine had room for it"
		}
	}
	return text
}
