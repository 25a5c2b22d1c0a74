package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["twice"] = playTwice }

// playTwice sends streams to two engines that go on with a request whose channel is closed.
// With trouble, one of them loses its answers to one in 20 of the requests that it runs.
func playTwice(sg *stage) error {
	const (
		streams = 80
		pause   = 200 * time.Millisecond
		// lostEach is the number of runs of which one's answer is lost.
		lostEach = 20
		// bound is how long the replica before may still work on a request that goes on.
		bound = 400 * time.Millisecond
	)
	sg.st.put("config", "main", configuration(4, "key0"))
	var pools []*replica
	for _, id := range []string{"i-pool1", "i-pool2"} {
		rp, err := sg.addReplica(&replica{id: id, service: "pool", zone: "a", engine: true, step: 40 * time.Millisecond, events: 50, keepsRunning: true})
		if err != nil {
			return err
		}
		pools = append(pools, rp)
	}
	gw, err := sg.addGateway("a")
	if err != nil {
		return err
	}
	if err := gw.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	count, numbers := 0, make(map[string]int)
	if sg.trouble {
		pools[0].breakAt = func(id string, event int, from string) bool {
			mu.Lock()
			defer mu.Unlock()
			if _, seen := numbers[id]; !seen && from == "" {
				count++
				numbers[id] = count
			}
			return from == "" && event == 15 && numbers[id]%lostEach == 0
		}
	}
	var wg sync.WaitGroup
	for range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			send(context.Background(), sg.record, gw, call{path: "/guide/7", key: "key0", deadline: 39 * time.Second, body: "prompt", tokens: "400,1000"})
		}()
		time.Sleep(pause)
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	broken := 0
	for _, later := range sg.rs.all() {
		if later.from == "" {
			continue
		}
		for _, before := range sg.rs.of(later.id) {
			if before.replica != later.replica && before.begun.Before(later.begun) && before.ended.Sub(later.begun) > bound {
				broken++
				sg.logf("TWICE: %s goes on at %s from %s, and %s works on it until %s", later.id, later.replica, sg.at(later.begun), before.replica, sg.at(before.ended))
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d requests went on at another replica while the one before still worked on them over %s later", errBroken, broken, bound)
	}
	return nil
}
