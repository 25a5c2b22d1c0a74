package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// slowClients is the number of connections of clients that read slowly.
	slowClients = 550
	// slowTarget is the size of their paths, in bytes. A head stays within max_header_bytes.
	slowTarget = 14000
	// slowRequests is the number of requests that each sends without awaiting the answers.
	slowRequests = 60
	// slowRead is how many bytes of the answers each reads in a second.
	slowRead = 100
	// slowTime is for how long they do so.
	slowTime = 20 * time.Second
	// contactTime is contact_ms of the settings.
	contactTime = 3 * time.Second
	// ordinaryClients is the number of clients that try a new channel each second.
	ordinaryClients = 10
)

// unreadCase has clients without a key that read their answers slowly. Ordinary clients must
// still get new channels, and answers, while the machine says that it is ready.
func unreadCase(de *deployment, trouble bool) (bool, error) {
	if _, err := de.addReplica(replicaSettings{Service: deskService, Slots: 24, BodyBytes: 20, Terse: true}); err != nil {
		return false, err
	}
	gw, err := de.addGateway("zone-a")
	if err != nil {
		return false, err
	}
	end := time.Now().Add(slowTime)
	var wg sync.WaitGroup
	for range slowClients {
		wg.Go(func() {
			for time.Now().Before(end) {
				visit(gw, trouble, end)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	de.record.note("%d clients without a key: each sends %d requests of %d bytes, reads slowly: %v", slowClients, requestsOf(trouble), len(strangeRequest()), trouble)
	longest := de.tryChannels(gw, end)
	wg.Wait()
	de.record.note("check: for %v the gateway said that it was ready, and none of %d clients a second got a new channel; contact_ms is %v", longest.Round(time.Millisecond), ordinaryClients, contactTime)
	return longest < contactTime, nil
}

func requestsOf(trouble bool) int {
	if trouble {
		return slowRequests
	}
	return 1
}

// strangeRequest returns a request without a key, for a path that no route has.
func strangeRequest() string {
	return "GET /" + strings.Repeat("p", slowTarget) + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: strange\r\n\r\n"
}

// visit opens a connection, sends requests and reads the answers, slowly or at once.
func visit(gw *gateway, slowly bool, end time.Time) {
	conn, err := net.Dial("tcp4", gw.front)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(end)
	if !slowly {
		_, _ = io.WriteString(conn, strangeRequest())
		_ = readAnswer(bufio.NewReader(conn), "GET")
		_ = conn.Close()
		time.Sleep(time.Second)
		return
	}
	if tc, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tc.SetReadBuffer(4 << 10)
	}
	go func() { _, _ = io.WriteString(conn, strings.Repeat(strangeRequest(), slowRequests)) }()
	part := make([]byte, slowRead)
	for time.Now().Before(end) {
		if _, err := io.ReadFull(conn, part); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// tryChannels has ordinary clients make a call on a new channel each, once a second, until a
// time. It returns the longest time in which none of them got an answer while the gateway said
// that it was ready.
func (de *deployment) tryChannels(gw *gateway, until time.Time) time.Duration {
	var longest time.Duration
	failing := time.Time{}
	for round := 0; time.Now().Before(until); round++ {
		begun := time.Now()
		ready := isReady(gw)
		served, failure := tryOnce(gw, round)
		de.record.note("ready: %v; ordinary clients: %d of %d served; a failure: %s", ready, served, ordinaryClients, failure)
		switch {
		case served > 0 || !ready:
			failing = time.Time{}
		case failing.IsZero():
			failing = begun
		}
		if !failing.IsZero() {
			longest = max(longest, time.Since(failing))
		}
		time.Sleep(time.Until(begun.Add(time.Second)))
	}
	return longest
}

// tryOnce makes a call for each ordinary client. It returns how many were served, and what
// another one saw.
func tryOnce(gw *gateway, round int) (served int, failure string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for number := range ordinaryClients {
		wg.Go(func() {
			an := send(gw.front, readRequest(fmt.Sprintf("ordinary-%d-%d", round, number)), time.Second)
			mu.Lock()
			defer mu.Unlock()
			if an.status == http.StatusOK {
				served++
				return
			}
			failure = an.String()
		})
	}
	wg.Wait()
	return served, failure
}

// isReady makes the platform's readiness check.
func isReady(gw *gateway) bool {
	client := &http.Client{Timeout: time.Second}
	an, err := client.Get("http://" + gw.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = an.Body.Close()
	return an.StatusCode == http.StatusOK
}
