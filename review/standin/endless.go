package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["endless"] = playEndless }

const (
	// memoryLimit is memory_mb of the gateway's settings.
	memoryLimit = 134 << 20
	// linkRate is link_mbps of a machine, in bytes per second.
	linkRate = 1000e6 / 8
)

// residentMemory returns the memory of a process without that of its program file, in bytes.
func residentMemory(pid int) int64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// watchMemory does what the platform does: it kills a process that exceeds its memory.
// It ends with the process.
func (gw *gateway) watchMemory() (peak *atomic.Int64, killed *atomic.Bool) {
	peak, killed = &atomic.Int64{}, &atomic.Bool{}
	gw.mu.Lock()
	pid, done := gw.cmd.Process.Pid, gw.done
	gw.mu.Unlock()
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			used := residentMemory(pid)
			peak.Store(max(peak.Load(), used))
			if used > memoryLimit && !killed.Swap(true) {
				gw.re.logf("%s: uses %d MB of memory, over its %d; the platform kills it", gw.name, used>>20, memoryLimit>>20)
				gw.signal(syscall.SIGKILL)
			}
		}
	}()
	return peak, killed
}

// faultyReplica is a replica in trouble: the bodies of some of its answers have no end.
type faultyReplica struct {
	sg *stage
	// endless is the number of answers to come without end; open are those under way.
	endless, open atomic.Int64
}

// ServeHTTP implements http.Handler.
func (fr *faultyReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Replica-Signature", "sig.i-desk2."+id)
	w.Header()["Date"] = nil
	if fr.endless.Add(-1) < 0 {
		time.Sleep(20 * time.Millisecond)
		_, _ = w.Write([]byte("done " + id))
		return
	}
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	go func() { _, _ = bufio.NewReader(conn).ReadByte() }()
	_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nReplica-Signature: sig.i-desk2.%s\r\n\r\n", id, id)
	fr.sg.logf("replica i-desk2: the body of its answer to %s has no end", id)
	fr.open.Add(1)
	defer fr.open.Add(-1)
	piece := []byte(strings.Repeat("x", 1<<14))
	total, begun := 0, time.Now()
	for {
		count, err := rw.Write(piece)
		total += count
		if err != nil {
			break
		}
		// All such answers together come as fast as the machine's link lets them.
		due := time.Duration(float64(total) * float64(fr.open.Load()) / linkRate * float64(time.Second))
		time.Sleep(due - time.Since(begun))
	}
	fr.sg.logf("replica i-desk2: the caller closed the channel of %s after %d MB", id, total>>20)
}

// playEndless keeps sound requests in flight at a machine: streams and bookings on kept
// channels. With trouble, some answers of a faulty replica have no end.
func playEndless(sg *stage) error {
	const (
		sound = 8
		// Bookings come in groups, of which about half go to either replica. Of the answers
		// of the faulty one to a group in the middle, the first have no end.
		groups  = 30
		group   = 16
		pause   = 200 * time.Millisecond
		trouble = 15
		faulty  = 8
	)
	cf := configuration(4, "key0")
	sg.st.put("config", "main", cf)
	if _, err := sg.addReplica(&replica{id: "i-pool1", service: "pool", zone: "a", engine: true, step: 50 * time.Millisecond, events: 220}); err != nil {
		return err
	}
	if _, err := sg.addReplica(&replica{id: "i-desk1", service: "desk", zone: "a", work: 20 * time.Millisecond}); err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fr := &faultyReplica{sg: sg}
	go func() { _ = (&http.Server{Handler: fr}).Serve(ln) }()
	sg.st.put("servers", "i-desk2", map[string]any{
		"service": "desk", "address": ln.Addr().String(), "zone": "a", "version": "v1", "slots": 24, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	gw, err := sg.addGateway("a")
	if err != nil {
		return err
	}
	if err := gw.awaitReady(15 * time.Second); err != nil {
		return err
	}
	peak, killed := gw.watchMemory()
	time.Sleep(4 * time.Second)
	book := call{path: "/book/7", key: "key0", deadline: 1500 * time.Millisecond, body: "loan"}
	var wg sync.WaitGroup
	streams := make(chan attempt, sound)
	for range sound {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ch := newChannel()
			defer ch.CloseIdleConnections()
			sendOn(context.Background(), sg.record, ch, gw, book)
			streams <- sendOn(context.Background(), sg.record, ch, gw, call{path: "/guide/7", key: "key0", deadline: 39 * time.Second, body: "prompt", tokens: "1400,1000"})
		}()
	}
	time.Sleep(time.Second)
	for ix := range groups {
		if sg.trouble && ix == trouble {
			fr.endless.Store(faulty)
		}
		for range group {
			wg.Add(1)
			go func() {
				defer wg.Done()
				send(context.Background(), sg.record, gw, book)
			}()
		}
		time.Sleep(pause)
	}
	wg.Wait()
	close(streams)
	lost := 0
	for at := range streams {
		if !at.whole {
			lost++
			sg.logf("LOST: %s was passed on to the sound replica i-pool1, and its channel ended without a complete answer", at.id)
		}
	}
	sg.logf("the most memory that %s used: %d MB of %d; killed %v; %d of %d sound streams cut", gw.name, peak.Load()>>20, memoryLimit>>20, killed.Load(), lost, sound)
	if killed.Load() && lost > 3 {
		return fmt.Errorf("%w: the process exceeded its memory and was killed, and %d of %d requests at a sound replica ended without an answer", errBroken, lost, sound)
	}
	return nil
}
