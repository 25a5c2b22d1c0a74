package main

import "time"

// The keys of the two tenants, and one that no configuration ever held.
const (
	firstKey = key
	lastKey  = "wsjnbanfqasnmgkcuyj8"
	noKey    = "zzzzzzzzzzzzzzzzzzzz"
	revoke   = 5 * time.Second
)

// lastTenant: the operator takes a tenant away, and then the last one.
func lastTenant(rc *record, trouble bool) bool {
	net3 := network()
	st := newStore(listen(net3 + "250:0"))
	tenant := func(name, key string) any {
		return map[string]any{"name": name, "api_keys": []string{key}, "priority": 1}
	}
	first, last := tenant("huka270", firstKey), tenant("dora118", lastKey)
	publish := func(version int, tenants ...any) time.Time {
		cf := configuration()
		cf["version"], cf["tenants"] = version, append([]any{}, tenants...)
		acked := st.put("config", "main", cf)
		rc.say("the store accepts version %d, with %d tenants", version, len(tenants))
		return acked
	}
	publish(7, first, last)
	var replicas []*replica
	for ix, zone := range zones {
		rp := newReplica(st, rc, net3+"200", "rental-desk", "i-desk"+string(rune('1'+ix)), zone, 60*time.Millisecond)
		rp.register()
		replicas = append(replicas, rp)
	}
	machines := startMachines(rc, net3, 3, st.address)
	cs := &clients{machines: machines, rc: rc, perS: 24, deadline: 1500 * time.Millisecond, keys: []string{firstKey, lastKey, noKey}}
	cs.start()
	time.Sleep(4 * time.Second)
	firstTaken := publish(9, last)
	time.Sleep(10 * time.Second)
	lastTaken := time.Now().Add(time.Hour)
	if trouble {
		lastTaken = publish(11)
	}
	time.Sleep(12 * time.Second)
	results := cs.end()

	credentials := make(map[string]string)
	ran := make(map[string]bool)
	for _, rp := range replicas {
		for _, ar := range rp.arrivalsAfter(time.Time{}) {
			credentials[ar.request], ran[ar.request] = ar.credential, ar.run
		}
	}
	var before, after [3]int
	passed := 0
	for _, rt := range results {
		if !ran[rt.request] {
			continue
		}
		if credentials[rt.request] != "" {
			passed++
		}
		switch {
		case rt.key == firstKey && rt.sentAt.After(lastTaken.Add(revoke)):
			after[0]++
		case rt.key == firstKey && rt.sentAt.After(firstTaken.Add(revoke)) && rt.sentAt.Before(lastTaken):
			before[0]++
		case rt.key == lastKey && rt.sentAt.After(lastTaken.Add(revoke)):
			after[1]++
		case rt.key == noKey && rt.sentAt.After(lastTaken):
			after[2]++
		case rt.key == noKey && rt.sentAt.Before(lastTaken.Add(-time.Second)):
			before[2]++
		}
	}
	rc.say("before the last tenant was taken away: %d requests with the first tenant's key ran later than %v after it was taken away, and %d with a key that was never held", before[0], revoke, before[2])
	rc.say("later than %v after the last tenant was taken away: %d requests with its key ran, and %d with the first tenant's", revoke, after[1], after[0])
	rc.say("since then, %d requests with a key that was never held ran; %d requests reached replicas with the client's key in Authorization", after[2], passed)
	return before[0]+after[0]+after[1] > 0
}
