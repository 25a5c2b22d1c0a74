package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["revoke"] = playRevoke }

// playRevoke takes a key away while a machine is restarted as planned. With trouble, the
// store comes back from a copy that is a few seconds old just before that machine's new
// process starts. The operator writes again what was lost.
func playRevoke(sg *stage) error {
	const (
		// revokeBound is revoke_ms.
		revokeBound = 5 * time.Second
		// rewrite is the time from the store's return to the operator's writing again: the
		// time in which the pages have the entries of replicas back after an outage.
		rewrite = 2 * time.Second
	)
	sg.st.put("config", "main", configuration(4, "key0", "key1"))
	for _, rp := range []*replica{
		{id: "i-desk1", service: "desk", zone: "a", work: 20 * time.Millisecond},
		{id: "i-desk2", service: "desk", zone: "b", work: 20 * time.Millisecond},
		{id: "i-pool1", service: "pool", zone: "a", engine: true, step: 50 * time.Millisecond, events: 10},
	} {
		if _, err := sg.addReplica(rp); err != nil {
			return err
		}
	}
	for _, zone := range []string{"a", "b"} {
		if _, err := sg.addGateway(zone); err != nil {
			return err
		}
	}
	for _, gw := range sg.gateways {
		if err := gw.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	gw := sg.gateways[0]
	ca := call{path: "/book/7", key: "key1", deadline: 1500 * time.Millisecond, body: "loan"}
	copied := sg.st.copy()
	sg.logf("a copy of the store is made")
	time.Sleep(500 * time.Millisecond)
	after := configuration(5, "key0")
	sg.st.put("config", "main", after)
	confirmed := time.Now()
	sg.logf("version 5 is confirmed: key1 is taken away")
	since := func(wanted time.Duration) { time.Sleep(time.Until(confirmed.Add(wanted))) }
	since(900 * time.Millisecond)
	for _, other := range sg.gateways {
		if at := send(context.Background(), sg.record, other, ca); at.status != 401 {
			return fmt.Errorf("%s answers %d to a request with the revoked key before the disruption", other.name, at.status)
		}
	}
	since(time.Second)
	gw.signal(syscall.SIGTERM)
	select {
	case <-gw.ended():
	case <-time.After(9 * time.Second):
		return fmt.Errorf("%s did not stop", gw.name)
	}
	if sg.trouble {
		sg.st.setDown(true)
		sg.logf("the store is away")
		time.Sleep(300 * time.Millisecond)
		sg.st.restore(copied)
		sg.logf("the store is back from the copy, Store-Era 1; version 5 is lost")
	} else {
		time.Sleep(300 * time.Millisecond)
	}
	restored := time.Now()
	if err := gw.start(); err != nil {
		return err
	}
	broken := 0
	for written := false; time.Since(confirmed) < 9*time.Second; time.Sleep(100 * time.Millisecond) {
		if !written && time.Since(restored) >= rewrite {
			written = true
			sg.st.put("config", "main", after)
			sg.logf("the operator has written version 5 again")
		}
		at := send(context.Background(), sg.record, gw, ca)
		ran := sg.rs.of(at.id)
		if len(ran) == 0 || at.sent.Sub(confirmed) <= revokeBound {
			continue
		}
		broken++
		sg.logf("CONFIG: %s, sent %.2f s after its key was taken away, ran at %s for %q", at.id, at.sent.Sub(confirmed).Seconds(), ran[0].replica, ran[0].tenant)
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d requests with a revoked key ran later than revoke_ms after the confirmation", errBroken, broken)
	}
	return nil
}
