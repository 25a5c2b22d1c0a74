package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["poison"] = playPoison }

// poisonAttempt is an attempt of a request with the part that crashes engines.
type poisonAttempt struct {
	attempt
	// inTouch is set if its machine was in touch when it was sent.
	inTouch bool
}

// playPoison sends requests with a part of a prompt that crashes engines, beside sound ones.
// With trouble, the machines are stopped and started in turn.
func playPoison(sg *stage) error {
	const (
		engines  = 10
		machines = 6
		part     = "badc0de1"
		every    = 2400 * time.Millisecond
	)
	sg.st.put("config", "main", configuration(4, "key0"))
	var mu sync.Mutex
	var crashes []time.Time
	var lost atomic.Int64
	for ix := range engines {
		rp := &replica{
			id: "i-pool" + strconv.Itoa(ix+1), service: "pool", zone: []string{"a", "b", "c"}[ix%3], engine: true, step: 50 * time.Millisecond, events: 60, crashesOn: part, fallTime: 3 * time.Second,
			onFall: func() {
				mu.Lock()
				defer mu.Unlock()
				crashes = append(crashes, time.Now())
			},
		}
		rp.onBack = func() { sg.putReplica(rp) }
		if _, err := sg.addReplica(rp); err != nil {
			return err
		}
	}
	for ix := range machines {
		if _, err := sg.addGateway([]string{"a", "b", "c"}[ix%3]); err != nil {
			return err
		}
	}
	started := make([]atomic.Int64, machines)
	for ix, gw := range sg.gateways {
		if err := gw.awaitReady(15 * time.Second); err != nil {
			return err
		}
		started[ix].Store(time.Now().UnixNano())
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	var sent []poisonAttempt
	for ix, gw := range sg.gateways {
		wg.Add(2)
		go func() {
			defer wg.Done()
			time.Sleep(6*time.Second + rand.N(every))
			for ctx.Err() == nil {
				if !gw.takesCallers() {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				since := time.Since(time.Unix(0, started[ix].Load()))
				at := send(ctx, sg.record, gw, call{path: "/guide/7", key: "key0", deadline: 39 * time.Second, body: "prompt", tokens: "400,1000", part: part})
				mu.Lock()
				sent = append(sent, poisonAttempt{at, since > contactTime && gw.takesCallers()})
				mu.Unlock()
				time.Sleep(every/2 + rand.N(every))
			}
		}()
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				if !gw.takesCallers() {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				at := send(ctx, sg.record, gw, call{path: "/guide/7", key: "key0", deadline: 39 * time.Second, body: "prompt", tokens: "400,1000"})
				if at.status == 200 && !at.whole && ctx.Err() == nil {
					lost.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	time.Sleep(20 * time.Second)
	sg.logf("%d crashes so far", len(crashes))
	for ix, gw := range sg.gateways {
		if !sg.trouble {
			time.Sleep(9 * time.Second)
			continue
		}
		gw.aside.Store(true)
		gw.signal(syscall.SIGTERM)
		select {
		case <-gw.ended():
		case <-time.After(9 * time.Second):
			gw.kill()
		}
		time.Sleep(300 * time.Millisecond)
		if err := gw.start(); err != nil {
			return err
		}
		started[ix].Store(time.Now().UnixNano())
		if err := gw.awaitReady(10 * time.Second); err != nil {
			return err
		}
		gw.aside.Store(false)
		time.Sleep(6 * time.Second)
	}
	cancel()
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 5 {
		sg.logf("%d crashes", len(crashes))
		return nil
	}
	late := 0
	for _, at := range sent {
		for _, ru := range sg.rs.of(at.id) {
			if at.inTouch && ru.begun.Sub(crashes[4]) > contactTime {
				late++
				sg.logf("BUDGET: %s has the part and reached %s from %s, %.1f s after the fifth crash", at.id, ru.replica, at.gateway, ru.begun.Sub(crashes[4]).Seconds())
			}
		}
	}
	sg.logf("%d crashes; %d requests with the part reached replicas from machines in touch later than contact_ms after the fifth; %d sound streams were cut off", len(crashes), late, lost.Load())
	if late > 3 {
		return fmt.Errorf("%w: %d requests with a part that crashes replicas reached them, %d crashes in all, and %d sound streams were cut off", errBroken, late, len(crashes), lost.Load())
	}
	return nil
}
