// Package trace finds in the logs of instances what happened to one request:
// its own lines, and the lines about the endpoints and the instance that it
// met shortly before.
//
// # Usage
//
//	st, err := trace.Read(file, "9c41d07be2a35f68")
//	for _, li := range st.Lines { fmt.Println(li) }
//	fmt.Println(st.Cause())
//
// Losses counts what became of all generations, which shows where to look:
//
//	rows, err := trace.Losses(file)
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

// Line is one line of a log.
type Line struct {
	// Time is in Unix milliseconds, by the clock of the instance.
	Time     int64  `json:"time"`
	Instance string `json:"instance"`
	Event    string `json:"event"`
	Request  string `json:"request"`
	Endpoint string `json:"endpoint"`
	Target   string `json:"target"`
	Reason   string `json:"reason"`
	Outcome  string `json:"outcome"`
	How      string `json:"how"`
	Kind     string `json:"kind"`
	Cause    string `json:"cause"`
	Error    string `json:"error"`
	Detail   string `json:"detail"`
	Zone     string `json:"zone"`
	Events   int    `json:"events"`
	Message  string `json:"message"`
	// Raw is the line as it stands in the log.
	Raw string `json:"-"`
}

// String returns the line for a person.
func (li Line) String() string {
	at := time.UnixMilli(li.Time).UTC().Format("15:04:05.000")
	parts := []string{at, li.Instance, li.Event}
	for _, fi := range []struct{ name, value string }{
		{"endpoint", li.Endpoint}, {"target", li.Target}, {"reason", li.Reason}, {"outcome", li.Outcome}, {"how", li.How},
		{"kind", li.Kind}, {"detail", li.Detail}, {"cause", li.Cause}, {"error", li.Error},
	} {
		if fi.value != "" {
			parts = append(parts, fi.name+"="+fi.value)
		}
	}
	return strings.Join(parts, " ")
}

// Story is what the logs say of a request.
type Story struct {
	Request string
	// Lines are in the order of their times.
	Lines []Line
}

const (
	// before is how long before a request's first line others are of interest.
	before = 5 * time.Second
	// lineBytes bounds one line of a log.
	lineBytes = 1 << 20
)

// around are the events about endpoints and instances that can explain a
// failure.
var around = map[string]bool{
	"endpoint_leaves": true, "endpoint_gone": true, "endpoint_held": true, "crash_suspected": true, "dependency_lost": true,
	"dependency_regained": true, "engine_leaves": true, "reader_left": true, "configuration": true, "evacuations": true, "stopping": true, "stop_cuts": true,
	"log_dropped": true,
}

// Read reads logs and returns the story of a request. Lines that are no log
// lines are passed over, also what stands before a line's first brace.
func Read(logs io.Reader, request string) (Story, error) {
	st := Story{Request: request}
	var others []Line
	sc := bufio.NewScanner(logs)
	sc.Buffer(make([]byte, 0, lineBytes/16), lineBytes)
	for sc.Scan() {
		li, found := parse(sc.Bytes())
		switch {
		case !found:
		case li.Request == request:
			st.Lines = append(st.Lines, li)
		case around[li.Event]:
			others = append(others, li)
		}
	}
	if err := sc.Err(); err != nil {
		return st, fmt.Errorf("trace: %w", err)
	}
	st.surround(others)
	slices.SortStableFunc(st.Lines, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	return st, nil
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

// surround adds the lines of the request's instance about what it met.
func (st *Story) surround(others []Line) {
	if len(st.Lines) == 0 {
		return
	}
	first, last := st.Lines[0].Time, st.Lines[0].Time
	instances, endpoints := make(map[string]bool), make(map[string]bool)
	for _, li := range st.Lines {
		first, last = min(first, li.Time), max(last, li.Time)
		instances[li.Instance] = true
		endpoints[li.Endpoint], endpoints[li.Target] = true, true
	}
	delete(endpoints, "")
	for _, li := range others {
		if li.Time < first-before.Milliseconds() || li.Time > last || !instances[li.Instance] {
			continue
		}
		if li.Endpoint == "" || endpoints[li.Endpoint] {
			st.Lines = append(st.Lines, li)
		}
	}
}

// Cause says in one sentence how the request ended, by its last telling line.
func (st Story) Cause() string {
	for ix := len(st.Lines) - 1; ix >= 0; ix-- {
		li := st.Lines[ix]
		if li.Request != st.Request {
			continue
		}
		switch li.Event {
		case "delivered":
			return "The stream was delivered whole."
		case "refused":
			return fmt.Sprintf("The instance refused it: %s (%s); %s.", li.Reason, li.Outcome, li.Detail)
		case "stream_broken":
			return "The stream broke at " + li.Endpoint + ": " + li.Cause + st.left(li) + "."
		case "stream_given_up":
			return "The caller left, or its time was over, while the stream ran at " + li.Endpoint + "."
		}
	}
	return "The logs do not say how it ended; a plain call that was answered has no line."
}

// left adds whether the endpoint had said that it leaves, and how the move went.
func (st Story) left(end Line) string {
	text := ""
	for _, li := range st.Lines {
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
