package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// crowdConns is the number of clients of the crowd at each machine that it meets.
	crowdConns = 460
	// crowdHeadBytes is below max_header_bytes (16,384), crowdBodyBytes below max_body_bytes.
	crowdHeadBytes = 16_000
	crowdBodyBytes = 40_000
	crowdTime      = 30 * time.Second
	// faultEnds and faultMachines are how often processes must end by themselves, on how many
	// machines, to break the rule.
	faultEnds     = 3
	faultMachines = 2
)

// crowd: clients that nobody controls send requests of legal size, each with many short header
// fields, and stop just short of the end of the body. A process over the memory of its machine is
// killed by the platform and starts again a second later.
func crowd(rc *record, trouble bool) bool {
	net3 := network()
	st := newStore(listen(net3 + "250:0"))
	st.put("config", "main", configuration())
	for ix, zone := range zones {
		newReplica(st, rc, net3+"200", "rental-desk", "i-desk"+string(rune('1'+ix)), zone, 60*time.Millisecond).register()
	}
	machines := startMachines(rc, net3, 3, st.address)
	cs := &clients{machines: machines, rc: rc, perS: 12, deadline: 1500 * time.Millisecond}
	cs.start()
	time.Sleep(4 * time.Second)
	done := make(chan struct{})
	var wg sync.WaitGroup
	kills := make([]int, len(machines))
	most := make([]int, len(machines))
	for ix, ma := range machines {
		wg.Go(func() { kills[ix], most[ix] = ma.enforceMemory(rc, done) })
		if trouble && ix < faultMachines {
			rc.say("a crowd of %d clients comes to %s", crowdConns, ma.name)
			wg.Go(func() { crowdAt(ma.front, done) })
		}
	}
	time.Sleep(crowdTime)
	close(done)
	wg.Wait()
	results := cs.end()
	failed, over := 0, 0
	for _, rt := range results {
		if rt.status != 200 || !rt.whole {
			failed++
		}
	}
	for ix, ma := range machines {
		rc.say("%s: at most %d MB of anonymous memory, of %d MB; over it and killed %d times", ma.name, most[ix], memoryMB, kills[ix])
		if kills[ix] >= faultEnds {
			over++
		}
	}
	rc.say("%d requests of ordinary clients, %d without success", len(results), failed)
	return over >= faultMachines
}

// enforceMemory does what the platform does: a process over the memory of its machine is killed,
// and starts again after a short delay.
func (ma *machine) enforceMemory(rc *record, done <-chan struct{}) (kills, most int) {
	for {
		select {
		case <-done:
			return kills, most
		case <-time.After(50 * time.Millisecond):
		}
		used := ma.anonymousMB()
		most = max(most, used)
		if used <= memoryMB {
			continue
		}
		kills++
		rc.say("%s has %d MB of anonymous memory, of %d: killed", ma.name, used, memoryMB)
		ma.signal(syscall.SIGKILL)
		<-ma.ended
		time.Sleep(time.Second)
		ma.start()
	}
}

// anonymousMB returns the memory of the process that no file backs, in MB. What the kernel holds
// for its connections is not in it.
func (ma *machine) anonymousMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", ma.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			count, _ := strconv.Atoi(strings.Fields(value)[0])
			return count >> 10
		}
	}
	return 0
}

// crowdAt keeps crowdConns clients at an address.
func crowdAt(address string, done <-chan struct{}) {
	var wg sync.WaitGroup
	for number := range crowdConns {
		wg.Go(func() {
			time.Sleep(time.Duration(number) * 5 * time.Millisecond)
			for {
				crowdClient(address, done)
				select {
				case <-done:
					return
				case <-time.After(time.Second):
				}
			}
		})
	}
	wg.Wait()
}

// crowdClient sends all but the last byte of a request and stays until the connection ends.
func crowdClient(address string, done <-chan struct{}) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	defer func() { _ = conn.Close(); close(ended) }()
	go func() {
		select {
		case <-done:
			_ = conn.Close()
		case <-ended:
		}
	}()
	head := fmt.Sprintf("POST /loan/7 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 39000\r\nContent-Length: %d\r\n", host, newID(), crowdBodyBytes)
	head += strings.Repeat("a:\r\n", (crowdHeadBytes-len(head))/4)
	if _, err := conn.Write([]byte(head + "\r\n" + strings.Repeat("x", crowdBodyBytes-1))); err != nil {
		return
	}
	_, _ = conn.Read(make([]byte, 4096))
}
