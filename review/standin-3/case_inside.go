package main

import (
	"fmt"
	"strings"
	"time"
)

// insideStreams is the number of streams that insideCase plays.
const insideStreams = 5

// insideCase has a replica end streams in order inside an event. The streams must not look
// complete to the client.
func insideCase(de *deployment, trouble bool) (bool, error) {
	se := replicaSettings{Service: poolService, Events: 8, GapMS: 20}
	if trouble {
		se.CutInside = 5
	}
	if _, err := de.addReplica(se); err != nil {
		return false, err
	}
	gw, err := de.addGateway("zone-a")
	if err != nil {
		return false, err
	}
	held := true
	for number := range insideStreams {
		id := fmt.Sprint("guide-", number)
		de.record.note("client sends %s", id)
		an := send(gw.front, streamRequest(id, ""), 15*time.Second)
		de.record.note("client: %s", an)
		held = de.judgeStream(id, an, se) && held
	}
	return held, nil
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
	de.record.note("check of %s: ends as complete: %v, all %d events once and in order: %v, ORDER held: %v", id, an.whole, se.Events, got == want.String(), held)
	return held
}
