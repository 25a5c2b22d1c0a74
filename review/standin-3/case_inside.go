package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// insideStreams is the number of streams of each of insideClients clients.
	insideStreams = 20
	insideClients = 10
	// insideOneIn is how many runs of a replica there are for one that it breaks off.
	insideOneIn = 40
)

// insideCase has one of two replicas end each fortieth of its streams in order inside an event.
// These streams must not look complete to the client.
func insideCase(de *deployment, trouble bool) (bool, error) {
	sound := replicaSettings{Service: poolService, Events: 8, GapMS: 5, Terse: true}
	faulty := sound
	if trouble {
		faulty.CutInside, faulty.CutOneIn = 5, insideOneIn
	}
	for _, se := range []replicaSettings{sound, faulty} {
		if _, err := de.addReplica(se); err != nil {
			return false, err
		}
	}
	gw, err := de.addGateway("zone-a")
	if err != nil {
		return false, err
	}
	var broken atomic.Int64
	var wg sync.WaitGroup
	for client := range insideClients {
		wg.Go(func() {
			for number := range insideStreams {
				id := fmt.Sprintf("guide-%d-%d", client, number)
				an := send(gw.front, streamRequest(id, ""), 15*time.Second)
				de.record.note("client: %s: status %d, ends as complete: %v, %d bytes, the last of them %q", id, an.status, an.whole, len(an.body), tail(an.body))
				if !de.judgeStream(id, an, sound) {
					broken.Add(1)
				}
			}
		})
	}
	wg.Wait()
	de.record.note("check: ORDER was broken in %d of %d streams", broken.Load(), insideClients*insideStreams)
	return broken.Load() == 0, nil
}

// tail returns the end of a body.
func tail(body []byte) []byte {
	const size = 24
	return body[max(len(body)-size, 0):]
}

// judgeStream judges a stream by ORDER: one that ends as complete has all events, once and in
// order. One that is broken off has some of them, from the first on.
func (de *deployment) judgeStream(id string, an answer, se replicaSettings) bool {
	var want strings.Builder
	re := replica{replicaSettings: se}
	for number := 1; number <= se.Events; number++ {
		want.Write(re.event(id, number))
	}
	got := string(an.body)
	held := got == want.String() || !an.whole && strings.HasPrefix(want.String(), got)
	if got != want.String() {
		de.record.note("check of %s: ends as complete: %v, all %d events once and in order: false, ORDER held: %v", id, an.whole, se.Events, held)
	}
	return held
}
