package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// playStop stops a machine as planned (SIGTERM) while requests are in flight at it. With
// trouble, its settings file changes meanwhile, and SIGHUP says so. All requests end well
// before the last sixth of grace_s.
func playStop(sg *stage) error {
	sg.st.put("config", "main", configuration(4, "key0"))
	for _, rp := range []*replica{
		{id: "i-pool1", service: "pool", zone: "a", engine: true, step: 50 * time.Millisecond, events: 60},
		{id: "i-pool2", service: "pool", zone: "a", engine: true, step: 50 * time.Millisecond, events: 60},
		{id: "i-desk1", service: "desk", zone: "a", work: 3 * time.Second},
	} {
		if _, err := sg.addReplica(rp); err != nil {
			return err
		}
	}
	for range 2 {
		if _, err := sg.addGateway("a"); err != nil {
			return err
		}
	}
	for _, gw := range sg.gateways {
		if err := gw.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	// All machines are in touch once they have run for contact_ms.
	time.Sleep(4 * time.Second)
	gw := sg.gateways[0]
	var wg sync.WaitGroup
	results := make(chan attempt, 20)
	for ix := range 8 {
		ca := call{path: "/guide/7", key: "key0", deadline: 39 * time.Second, body: "prompt", tokens: "1400,1000"}
		if ix%2 == 1 {
			ca = call{path: "/book/7", key: "key0", deadline: 8 * time.Second, body: "loan"}
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			results <- send(context.Background(), sg.record, gw, ca)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	gw.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if sg.trouble {
		gw.fields["seeds"] = []string{gw.front}
		if err := gw.writeSettings(); err != nil {
			return err
		}
		gw.signal(syscall.SIGHUP)
	}
	wg.Wait()
	close(results)
	lost := 0
	for at := range results {
		if !at.whole {
			lost++
			sg.logf("LOST: %s was passed on to a replica (%d runs), and its channel ended without a complete answer", at.id, len(sg.rs.of(at.id)))
		}
	}
	select {
	case <-gw.ended():
	case <-time.After(10 * time.Second):
	}
	if lost > 0 {
		return fmt.Errorf("%w: %d of 8 requests in flight were cut by the stop", errBroken, lost)
	}
	return nil
}
