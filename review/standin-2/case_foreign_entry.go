package main

import (
	"syscall"
	"time"
)

// foreignEntry: another writer leaves an entry among those of the replicas, with a field of
// another type and within the store's size of a value. It names no replica to use; the others
// hold. Then a replica leaves as planned.
func foreignEntry(rc *record, trouble bool) bool {
	net3 := network()
	st := newStore(listen(net3 + "250:0"))
	st.put("config", "main", configuration())
	var replicas []*replica
	for ix, zone := range zones {
		rp := newReplica(st, rc, net3+"200", "rental-desk", "i-desk"+string(rune('1'+ix)), zone, 250*time.Millisecond)
		rp.register()
		replicas = append(replicas, rp)
	}
	machines := startMachines(rc, net3, 3, st.address)
	cs := &clients{machines: machines, rc: rc, perS: 24, deadline: 1500 * time.Millisecond}
	cs.start()
	time.Sleep(6 * time.Second)

	// The other writer's entry: "slots" is a list. With trouble it has 200,000 numbers, 0.4 MB.
	slots := make([]int, 4)
	if trouble {
		slots = make([]int, 200_000)
	}
	st.put("servers", "x-other-writer", map[string]any{"service": "rental-desk", "address": net3 + "201:9", "zone": zones[0], "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1})
	rc.say("another writer's entry is in the store; its field slots is a list of %d numbers", len(slots))
	time.Sleep(8 * time.Second)

	leaver := replicas[0]
	acked := leaver.setState("draining")
	rc.say("the store accepts that %s is draining", leaver.id)
	time.Sleep(drain + 3*time.Second)
	st.remove("servers", leaver.id)
	leaver.exit()
	rc.say("%s exits, %v after the store accepted that it drains", leaver.id, time.Since(acked).Round(time.Millisecond))
	time.Sleep(2 * time.Second)
	restarted := restartInTurn(rc, machines)
	time.Sleep(recoverTime + 5*time.Second)
	results := cs.end()

	late := leaver.arrivalsAfter(acked.Add(drain))
	lost := 0
	for _, ar := range late {
		if ar.run && !ar.done {
			lost++
			for _, rt := range results {
				if rt.request == ar.request {
					rc.line("lost: %s %s, begun by %s at its exit; the client got %s", rt.method, ar.request, leaver.id, rt.text())
				}
			}
		}
	}
	sent, served := 0, 0
	for _, rt := range results {
		if rt.sentAt.After(restarted.Add(recoverTime)) {
			sent++
			if rt.status == 200 && rt.whole {
				served++
			}
		}
	}
	rc.say("%d requests reached %s later than %v after the store accepted that it drains; %d of them were running when it exited", len(late), leaver.id, drain, lost)
	rc.say("not judged: after the planned restart of all machines in turn, %d of %d requests were served that were sent later than %v", served, sent, recoverTime)
	for _, ma := range machines {
		for _, line := range ma.grep(`"dependency_lost"`) {
			rc.line("log of %s: %s", ma.name, line)
		}
	}
	return len(late) > 0
}

// recoverTime is recover_s.
const recoverTime = 12 * time.Second

// restartInTurn restarts the machines one after the other as planned, and returns when the last
// one was started.
func restartInTurn(rc *record, machines []*machine) time.Time {
	const grace = 8 * time.Second
	for _, ma := range machines {
		ma.signal(syscall.SIGTERM)
		select {
		case <-ma.ended:
		case <-time.After(grace):
			ma.kill()
		}
		ma.start()
		rc.say("%s was restarted as planned", ma.name)
		time.Sleep(time.Second)
	}
	return time.Now()
}
