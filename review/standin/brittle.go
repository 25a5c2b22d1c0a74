package main

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["brittle"] = playBrittle }

// playBrittle sends streams to the engines of a service, a little less than they can run,
// and a short burst. With trouble, the engines are brittle from then on, and say so.
func playBrittle(sg *stage) error {
	const (
		engines = 8
		slots   = 8
		step    = 50 * time.Millisecond
		events  = 150
		// perSecond is nine tenths of what the engines can run.
		perSecond = 0.9 * engines * slots * float64(time.Second) / float64(step*events)
		// burst is how many times as many requests come for burstTime, up to the moment
		// from which the engines are brittle.
		burst       = 1.7
		burstTime   = 3 * time.Second
		brittle     = 3
		calmTime    = 14 * time.Second
		brittleTime = 20 * time.Second
	)
	cf := configuration(4, "key0")
	for _, se := range cf["services"].([]any) {
		if engine, found := se.(map[string]any)["engine"]; found {
			engine.(map[string]any)["slots"] = slots
		}
	}
	sg.st.put("config", "main", cf)
	var falls, lost atomic.Int64
	var pools []*replica
	for ix := range engines {
		rp := &replica{
			id: "i-pool" + strconv.Itoa(ix+1), service: "pool", zone: "a", engine: true, step: step, events: events,
			slots: slots, queue: 3 * slots, fallTime: 3 * time.Second, onFall: func() { falls.Add(1) },
		}
		rp.onBack = func() { sg.putReplica(rp) }
		if _, err := sg.addReplica(rp); err != nil {
			return err
		}
		pools = append(pools, rp)
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
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	var rate atomic.Value
	rate.Store(perSecond)
	client := func(gw *gateway) {
		defer wg.Done()
		// A client comes back once after a promise that its request has not run.
		for range 2 {
			at := send(ctx, sg.record, gw, call{path: "/guide/7", key: "key0", deadline: 39 * time.Second, body: "prompt", tokens: "400,1000"})
			if at.status == 200 && !at.whole && ctx.Err() == nil {
				lost.Add(1)
			}
			seconds, err := strconv.ParseFloat(at.retryAfter, 64)
			if err != nil {
				return
			}
			time.Sleep(time.Duration(seconds * float64(time.Second)))
		}
	}
	go func() {
		for ix := 0; ctx.Err() == nil; ix++ {
			wg.Add(1)
			go client(sg.gateways[ix%2])
			time.Sleep(time.Duration(float64(time.Second) / rate.Load().(float64)))
		}
	}()
	time.Sleep(calmTime)
	sg.logf("a burst begins: %.1f times as many requests", burst)
	rate.Store(burst * perSecond)
	time.Sleep(burstTime)
	rate.Store(perSecond)
	sg.logf("the burst has ended")
	if sg.trouble {
		sg.logf("the engines are brittle from now on, and say so: Server-Brittle %d", brittle)
		for _, rp := range pools {
			rp.mu.Lock()
			rp.brittleFrom = time.Now()
			rp.brittle = brittle
			rp.mu.Unlock()
		}
	}
	time.Sleep(brittleTime)
	cancel()
	wg.Wait()
	bound := 2 + float64(engines)/10
	sg.logf("%d falls, %.1f are allowed; %d streams were cut off", falls.Load(), bound, lost.Load())
	if float64(falls.Load()) > bound {
		return fmt.Errorf("%w: the brittle engines fell over %d times, %.1f are allowed, and %d streams were cut off", errBroken, falls.Load(), bound, lost.Load())
	}
	return nil
}
