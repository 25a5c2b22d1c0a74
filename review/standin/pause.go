package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["pause"] = playPause }

// playPause lets the only replica of a service name a limit. With trouble, it turns one
// request away with Retry-After while others wait for their turns.
func playPause(sg *stage) error {
	cf := configuration(4, "key0")
	for _, ro := range cf["routes"].([]any) {
		ro.(map[string]any)["priority"] = 0
		ro.(map[string]any)["target_latency_ms"] = 1800
	}
	sg.st.put("config", "main", cf)
	desk := &replica{id: "i-desk1", service: "desk", zone: "a", work: 20 * time.Millisecond, limit: "2.0"}
	if _, err := sg.addReplica(desk); err != nil {
		return err
	}
	gw, err := sg.addGateway("a")
	if err != nil {
		return err
	}
	if err := gw.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	ca := call{path: "/book/7", key: "key0", deadline: 8 * time.Second, body: "loan"}
	send(context.Background(), sg.record, gw, ca)
	time.Sleep(4 * time.Second)
	const retryAfter = 5 * time.Second
	var away atomic.Int64
	var at atomic.Int64
	if sg.trouble {
		desk.turnAway = func() (time.Duration, bool) {
			if away.Add(1) != 1 {
				return 0, false
			}
			at.Store(time.Now().UnixNano())
			return retryAfter, true
		}
	}
	var wg sync.WaitGroup
	for range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			send(context.Background(), sg.record, gw, ca)
		}()
	}
	wg.Wait()
	if at.Load() == 0 {
		return nil
	}
	said := time.Unix(0, at.Load())
	time.Sleep(time.Until(said.Add(retryAfter)))
	late := 0
	desk.mu.Lock()
	for _, arrived := range desk.arrivals {
		if since := arrived.Sub(said); since > 500*time.Millisecond && since < retryAfter {
			late++
		}
	}
	desk.mu.Unlock()
	if late > 2 {
		return fmt.Errorf("%w: %d requests reached the replica between half a second after its 503 and the end of Retry-After", errBroken, late)
	}
	return nil
}
