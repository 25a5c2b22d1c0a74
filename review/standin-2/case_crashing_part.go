package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	badPart    = "0bad0bad"
	soundPart  = "5c1e07a2"
	callerPart = "91bd3f06"
	// poisonGap is the time between two requests with the bad part.
	poisonGap   = 1500 * time.Millisecond
	poisonCount = 32
	// freeCrashes and freeRequests are those that the rule allows.
	freeCrashes  = 5
	freeRequests = 3
)

// crashingPart: a part of prompts crashes each replica that begins to write an answer on it. The
// replica crashes before anything of the answer is sent.
func crashingPart(rc *record, trouble bool) bool {
	net3 := network()
	st := newStore(listen(net3 + "250:0"))
	st.put("config", "main", withEngines(configuration()))
	var mu sync.Mutex
	var replicas []*replica
	var crashes []time.Time
	var add func(zone string)
	add = func(zone string) {
		mu.Lock()
		defer mu.Unlock()
		rp := newReplica(st, rc, net3+"200", "filbert-pool", fmt.Sprintf("i-llm%02d", len(replicas)+1), zone, 0)
		rp.crashingPart = badPart
		rp.slots, rp.free = 24, make(chan struct{}, 24)
		rp.onCrash = func(ar *arrival) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			rc.say("crash %d: %s, request %s", len(crashes), rp.id, ar.request)
			mu.Unlock()
			go func() {
				time.Sleep(3600 * time.Millisecond)
				st.remove("servers", rp.id)
				time.Sleep(400 * time.Millisecond)
				add(zone)
			}()
		}
		rp.register()
		replicas = append(replicas, rp)
	}
	for ix := range 12 {
		add(zones[ix%3])
	}
	newReplica(st, rc, net3+"200", "rental-desk", "i-desk1", zones[0], 60*time.Millisecond).register()
	machines := startMachines(rc, net3, 6, st.address)
	cs := &clients{machines: machines, rc: rc, deadline: 10 * time.Second}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
				wg.Go(func() { cs.sendGuide(callerPart, soundPart) })
			}
		}
	})
	time.Sleep(4 * time.Second)
	bad := &clients{machines: machines, rc: rc, deadline: 10 * time.Second}
	part := badPart
	if !trouble {
		part = "0600d600"
	}
	for range poisonCount {
		wg.Go(func() { bad.sendGuide(callerPart, part) })
		time.Sleep(poisonGap)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	rc.say("%d crashes by %d requests with the part", len(crashes), len(bad.results))
	if len(crashes) < freeCrashes {
		rc.say("fewer than %d crashes", freeCrashes)
		return false
	}
	late := 0
	for _, rt := range bad.results {
		for _, rp := range replicas {
			for _, ar := range rp.arrivalsAfter(crashes[freeCrashes-1].Add(contact)) {
				if ar.request == rt.request {
					late++
					rc.lineAt(ar.at, "%s reaches %s, %v after the fifth crash; the client got %s", ar.request, rp.id, ar.at.Sub(crashes[freeCrashes-1]).Round(time.Millisecond), rt.text())
				}
			}
		}
	}
	broken := 0
	for _, rt := range cs.results {
		if rt.status != 200 || !rt.whole {
			broken++
		}
	}
	rc.say("%d sound requests, %d without a whole answer", len(cs.results), broken)
	rc.say("%d requests with the part reached replicas later than %v after the fifth crash; %d are allowed", late, contact, freeRequests)
	return late > freeRequests
}
