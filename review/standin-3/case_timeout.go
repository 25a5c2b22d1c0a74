package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// timeoutCalm is the number of streams at once that the engine has slots for, and
	// timeoutBurst that of a burst of 1.67 times as many.
	timeoutCalm  = 24
	timeoutBurst = 40
	// routeTimeout is timeout_ms of the route. The time budget of the client is longer.
	routeTimeout = 6 * time.Second
	// maxLost is the number of closed channels that LOST allows.
	maxLost = 3
)

// timeoutCase has a burst of streams for which an engine has too few slots, so that the first
// events of some come after the timeout of their route. Each must get an answer.
func timeoutCase(de *deployment, trouble bool) (bool, error) {
	cf := configuration(2)
	cf["routes"].([]any)[0].(map[string]any)["timeout_ms"] = routeTimeout.Milliseconds()
	de.store.put("config", "main", cf)
	// A run takes 1 s to its first event, and 5.5 s in all.
	engine := replicaSettings{Service: poolService, Slots: timeoutCalm, Events: 10, FirstMS: 1000, GapMS: 450}
	if _, err := de.addReplica(engine); err != nil {
		return false, err
	}
	if _, err := de.addReplica(replicaSettings{Service: deskService, Slots: 6, BodyBytes: 20}); err != nil {
		return false, err
	}
	gw, err := de.addGateway("zone-a")
	if err != nil {
		return false, err
	}
	streams := timeoutCalm
	if trouble {
		streams = timeoutBurst
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	lost := 0
	for number := range streams {
		wg.Go(func() {
			if de.streamOnKeptChannel(gw, fmt.Sprint("guide-", number)) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			lost++
		})
	}
	wg.Wait()
	de.record.note("check: %d of %d kept channels were closed without an answer to a request that a replica got; LOST allows %d", lost, streams, maxLost)
	return lost <= maxLost, nil
}

// streamOnKeptChannel makes a call on a new channel and then asks for a stream on it. It reports
// whether the stream got an answer, or did not reach a replica.
func (de *deployment) streamOnKeptChannel(gw *gateway, id string) bool {
	conn, err := net.Dial("tcp4", gw.front)
	if err != nil {
		de.record.note("client: %s: %v", id, err)
		return true
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * routeTimeout))
	rd := bufio.NewReader(conn)
	_, _ = io.WriteString(conn, readRequest("first-"+id))
	first := readAnswer(rd, "GET")
	begun := time.Now()
	_, _ = io.WriteString(conn, streamRequest(id, ""))
	an := readAnswer(rd, "POST")
	de.record.note("client: %s after a %d on the same channel: after %v: %s", id, first.status, time.Since(begun).Round(time.Millisecond), an)
	return an.status != 0 || len(de.record.said("begins", id)) == 0
}
