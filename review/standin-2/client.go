package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// result is one client attempt.
type result struct {
	request, method string
	machine, key    string
	sentAt, endedAt time.Time
	// status is 0 if there was no answer.
	status int
	whole  bool
	note   string
}

// bookingBytes is the size of the body of a booking.
const bookingBytes = 600

// clients send requests at a steady rate until they are stopped.
type clients struct {
	machines []*machine
	rc       *record
	perS     float64
	// deadline is the clients' time budget.
	deadline time.Duration
	// keys are the clients' keys, which they use in turn.
	keys []string

	mu      sync.Mutex
	results []result
	stop    chan struct{}
	wg      sync.WaitGroup
}

func newID() string {
	data := make([]byte, 8)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

func (cs *clients) start() {
	cs.stop = make(chan struct{})
	if len(cs.keys) == 0 {
		cs.keys = []string{key}
	}
	cs.wg.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-cs.stop:
				return
			case <-time.After(time.Duration(float64(time.Second) / cs.perS)):
			}
			cs.wg.Go(func() { cs.send(number%4 != 3, cs.keys[number%len(cs.keys)]) })
		}
	})
}

func (cs *clients) end() []result {
	close(cs.stop)
	cs.wg.Wait()
	return cs.results
}

// pick returns a machine as the platform's balancer does: one that is ready, or any if none is.
func (cs *clients) pick() *machine {
	var list []*machine
	for _, ma := range cs.machines {
		if ma.takesClients() {
			list = append(list, ma)
		}
	}
	if len(list) == 0 {
		list = cs.machines
	}
	return list[mrand.IntN(len(list))]
}

func (cs *clients) send(booking bool, key string) {
	ma := cs.pick()
	rt := result{request: newID(), method: "GET", machine: ma.name, key: key, sentAt: time.Now()}
	path, body := "/catalogue/7", []byte(nil)
	if booking {
		rt.method, path, body = "POST", "/loan/7", bytes.Repeat([]byte("b"), bookingBytes)
	}
	ctx, cancel := context.WithTimeout(context.Background(), cs.deadline)
	defer cancel()
	re, _ := http.NewRequestWithContext(ctx, rt.method, "http://"+ma.front+path, bytes.NewReader(body))
	re.Host = host
	re.Header.Set("Request-Id", rt.request)
	re.Header.Set("Deadline-Ms", strconv.FormatInt(cs.deadline.Milliseconds(), 10))
	re.Header.Set("Authorization", "Bearer "+key)
	cs.rc.lineAt(rt.sentAt, "client sends %s %s to %s with key %s", rt.method, rt.request, ma.name, key)
	cs.finish(rt, re)
}

// finish sends a request and records its answer.
func (cs *clients) finish(rt result, re *http.Request) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := client.Do(re)
	if err != nil {
		rt.note = err.Error()
	} else {
		rt.status = rs.StatusCode
		var data []byte
		data, err = io.ReadAll(rs.Body)
		_ = rs.Body.Close()
		rt.whole = err == nil
		if rt.status != 200 {
			rt.note = string(data)
		}
	}
	rt.endedAt = time.Now()
	cs.rc.lineAt(rt.endedAt, "client gets %s: %s", rt.request, rt.text())
	cs.mu.Lock()
	cs.results = append(cs.results, rt)
	cs.mu.Unlock()
}

// sendGuide sends a request for a stream, with the parts of its prompt that others share.
func (cs *clients) sendGuide(shared ...string) {
	ma := cs.pick()
	rt := result{request: newID(), method: "POST", machine: ma.name, key: key, sentAt: time.Now()}
	prefix := ""
	for _, part := range shared {
		prefix += part + ":200,"
	}
	prefix += newID()[:8] + ":100"
	ctx, cancel := context.WithTimeout(context.Background(), cs.deadline)
	defer cancel()
	re, _ := http.NewRequestWithContext(ctx, rt.method, "http://"+ma.front+guidePrefix+"7", strings.NewReader("prompt "+rt.request))
	re.Host = host
	for name, value := range map[string]string{
		"Request-Id": rt.request, "Deadline-Ms": strconv.FormatInt(cs.deadline.Milliseconds(), 10), "Authorization": "Bearer " + key,
		"Model": "m", "Token-Usage": fmt.Sprintf("%d,%d", 200*len(shared)+100, 4*streamEvents), "Prompt-Prefix": prefix,
	} {
		re.Header.Set(name, value)
	}
	cs.rc.lineAt(rt.sentAt, "client sends %s to %s, prompt %s", rt.request, ma.name, prefix)
	cs.finish(rt, re)
}

func (rt result) text() string {
	if rt.status == 0 {
		return "no answer: " + rt.note
	}
	return fmt.Sprintf("%d whole=%v %s", rt.status, rt.whole, rt.note)
}
