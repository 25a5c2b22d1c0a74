package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// readerInstances is the number of instances, half of them in each zone.
	readerInstances = 20
	// bookingTime is the time that a replica takes for a booking, in milliseconds.
	bookingTime = 200
	// lingerTime is the time after drainTime after which the replica that leaves exits.
	lingerTime = 700 * time.Millisecond
	// drainTime is drain_ms of the settings.
	drainTime = 2 * time.Second
	// readerRounds is the number of times that the readers are cut off.
	readerRounds = 8
	// readerCut is for how long they are, and readerRest the time after that.
	readerCut  = 4 * time.Second
	readerRest = 5 * time.Second
	// loadPause is the time between two requests to an instance.
	loadPause = 50 * time.Millisecond
)

// sentRequest is a request of a client.
type sentRequest struct {
	id     string
	at     time.Time
	to     string
	status int
}

// readersCase cuts the readers of two zones off from the store while a replica leaves without
// notice: its entry is removed, and it serves on.
func readersCase(de *deployment, trouble bool) (bool, error) {
	proxies := make(map[*gateway]*proxy)
	for ix := range readerInstances {
		zone := []string{"zone-a", "zone-b"}[ix%2]
		pr, err := startProxy(loopback(50+ix), de.store.address)
		if err != nil {
			return false, err
		}
		gw, err := startGateway(de.dir, fmt.Sprintf("edge-%s-%d", zone, ix/2+1), loopback(2+ix), zone, pr.address)
		if err != nil {
			return false, err
		}
		de.gateways = append(de.gateways, gw)
		proxies[gw] = pr
	}
	if _, err := de.addReplica(replicaSettings{Service: deskService, Slots: 24, BodyBytes: 20, PartMS: bookingTime, Terse: true}); err != nil {
		return false, err
	}
	for _, gw := range de.gateways {
		if err := gw.awaitReady(readyTimeout); err != nil {
			return false, err
		}
	}
	time.Sleep(readerRest)
	ok := true
	for round := range readerRounds {
		held, err := readersRound(de, proxies, round, trouble)
		if err != nil {
			return false, err
		}
		ok = ok && held
		if !ok {
			break
		}
	}
	return ok, nil
}

// readersRound cuts the readers off once and reports whether DRAIN held.
func readersRound(de *deployment, proxies map[*gateway]*proxy, round int, trouble bool) (bool, error) {
	leaving, err := de.addReplica(replicaSettings{ID: fmt.Sprintf("i-leaves-%d", round), Service: deskService, Slots: 24, BodyBytes: 20, PartMS: bookingTime, Terse: true})
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var others []*gateway
	for _, gw := range de.gateways {
		if !proxies[gw].isUsed() {
			others = append(others, gw)
			continue
		}
		de.record.note("round %d: %s reads the store", round, gw.name)
		proxies[gw].cut.Store(trouble)
	}
	time.Sleep(50 * time.Millisecond)
	de.store.remove("servers", leaving.ID)
	acked := time.Now()
	de.record.note("round %d: the readers are cut off: %v; the store has accepted that %s is gone", round, trouble, leaving.ID)
	time.AfterFunc(drainTime+lingerTime, func() {
		de.record.note("round %d: %s exits", round, leaving.ID)
		leaving.stop()
	})
	sent := de.load(others, round, acked.Add(readerCut))
	for _, pr := range proxies {
		pr.cut.Store(false)
	}
	time.Sleep(readerRest)
	late, lost := 0, 0
	for _, sr := range sent {
		for _, li := range de.record.said("begins", sr.id) {
			if li.Replica == leaving.ID && sr.at.Sub(acked) > drainTime {
				late++
				if sr.status != http.StatusOK {
					lost++
				}
				de.record.note("round %d: %s, sent to %s %v after that, reached %s; the client got %d", round, sr.id, sr.to, sr.at.Sub(acked).Round(time.Millisecond), leaving.ID, sr.status)
			}
		}
	}
	de.record.note("round %d: %d bookings sent, %d reached %s although they were sent later than %v after that, %d of them were lost with it", round, len(sent), late, leaving.ID, drainTime, lost)
	return late == 0, nil
}

// load sends requests to instances until a time.
func (de *deployment) load(gateways []*gateway, round int, until time.Time) []sentRequest {
	var mu sync.Mutex
	var sent []sentRequest
	var wg sync.WaitGroup
	for _, gw := range gateways {
		wg.Go(func() {
			for count := 0; time.Now().Before(until); count++ {
				id := fmt.Sprintf("r%d-%s-%d", round, gw.name, count)
				sr := sentRequest{id: id, at: time.Now(), to: gw.name}
				sr.status = send(gw.front, bookRequest(id), 2*time.Second).status
				mu.Lock()
				sent = append(sent, sr)
				mu.Unlock()
				time.Sleep(loadPause)
			}
		})
	}
	wg.Wait()
	return sent
}

// bookRequest returns a request that must not run twice.
func bookRequest(id string) string {
	const body = "{}"
	return fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", host, id, key, len(body), body)
}

// readRequest returns an idempotent request.
func readRequest(id string) string {
	return fmt.Sprintf("GET /read/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer %s\r\n\r\n", host, id, key)
}
