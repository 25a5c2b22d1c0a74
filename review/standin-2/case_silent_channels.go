package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// silentRounds is how often open channels to the store go silent, and a replica is replaced.
	silentRounds = 5
	// silentShare is the share of them, as of the connections in reset_conns of the bench.
	silentShare = 0.5
)

// silentChannels lets a random half of the open channels to the store go silent for good, while
// new ones work, just as a replica is replaced as planned: the new one starts first, the old one
// drains. All machines are in touch again contact_ms later.
func silentChannels(rc *record, trouble bool) bool {
	net3 := network()
	st := newStore(listen(net3 + "250:0"))
	pr := newProxy(listen(net3+"251:0"), st.address)
	st.put("config", "main", configuration())
	var replicas []*replica
	add := func(zone string) *replica {
		rp := newReplica(st, rc, net3+"200", "rental-desk", fmt.Sprintf("i-desk%02d", len(replicas)+1), zone, 200*time.Millisecond)
		rp.register()
		replicas = append(replicas, rp)
		return rp
	}
	for _, zone := range zones {
		add(zone)
	}
	machines := startMachines(rc, net3, 6, pr.address)
	cs := &clients{machines: machines, rc: rc, perS: 40, deadline: 1500 * time.Millisecond}
	cs.start()
	time.Sleep(8 * time.Second)
	late, lost := 0, 0
	var begun []arrival
	for round := range silentRounds {
		leaver := replicas[round]
		added := add(leaver.zone)
		rc.say("%s starts, in place of %s", added.id, leaver.id)
		time.Sleep(300 * time.Millisecond)
		cut := time.Now()
		if trouble {
			count, all := pr.silence(silentShare)
			rc.say("%d of %d open channels to the store go silent", count, all)
		}
		time.Sleep(200 * time.Millisecond)
		acked := leaver.setState("draining")
		rc.say("the store accepts that %s is draining", leaver.id)
		time.Sleep(drain + 1500*time.Millisecond)
		st.remove("servers", leaver.id)
		leaver.exit()
		rc.say("%s exits, %v after the store accepted that it drains", leaver.id, time.Since(acked).Round(time.Millisecond))
		time.Sleep(8 * time.Second)
		after := acked.Add(drain)
		if inTouch := cut.Add(contact); trouble && inTouch.After(after) {
			after = inTouch
		}
		list := leaver.arrivalsAfter(after)
		for _, ar := range list {
			if ar.run && !ar.done {
				begun = append(begun, ar)
			}
		}
		late += len(list)
		rc.say("%d requests reached %s later than %v after the acknowledgement, from machines in touch", len(list), leaver.id, drain)
	}
	results := cs.end()
	failed := 0
	for _, rt := range results {
		if rt.status != 200 || !rt.whole {
			failed++
		}
		for _, ar := range begun {
			if ar.request == rt.request {
				lost++
				rc.line("%s %s was running when its replica exited; the client got %s", rt.method, rt.request, rt.text())
			}
		}
	}
	rc.say("%d requests, %d without success; %d late in all, %d of them were running when their replica exited", len(results), failed, late, lost)
	return late > 0
}

// silence lets a random share of the open connections go silent. It returns their number, and
// that of the open ones.
func (pr *proxy) silence(share float64) (count, all int) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for li := range pr.links {
		li.mu.Lock()
		if !li.silent {
			all++
			li.silent = rand.Float64() < share
		}
		if li.silent {
			count++
		}
		li.mu.Unlock()
	}
	return count, all
}
