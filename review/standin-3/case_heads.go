package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// headClients is the number of connections of clients that do not behave.
	headClients = 450
	// headBytes is the size of their heads, which max_header_bytes, 16,384, does not allow.
	headBytes = 32000
	// memoryMB is memory_mb of the settings.
	memoryMB = 134
	// headChecks is the number of times, once a second, that the memory is read.
	headChecks = 12
)

// headsCase opens connections on which a head of many short fields arrives and a body that
// stops just short of its end. The memory of the process must stay within that of the machine.
func headsCase(de *deployment, trouble bool) (bool, error) {
	if _, err := de.addReplica(replicaSettings{Service: deskService, Slots: 24, BodyBytes: 20}); err != nil {
		return false, err
	}
	gw, err := de.addGateway("zone-a")
	if err != nil {
		return false, err
	}
	de.record.note("the gateway has %.0f MB", resident(gw.cmd.Process.Pid))
	peak := 0.0
	for number := range headClients {
		text := readRequest(fmt.Sprint("calm-", number))
		if trouble {
			text = unfinishedRequest()
		}
		conn, err := net.Dial("tcp4", gw.front)
		if err != nil {
			de.record.note("client %d: %v", number, err)
			continue
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(time.Minute))
		if _, err := io.WriteString(conn, text); err != nil {
			de.record.note("client %d: %v", number, err)
		}
		peak = max(peak, resident(gw.cmd.Process.Pid))
	}
	de.record.note("%d clients have sent %d bytes each; the gateway has had %.0f MB at most", headClients, len(unfinishedRequest()), peak)
	for number := range headChecks {
		time.Sleep(time.Second)
		now := resident(gw.cmd.Process.Pid)
		peak = max(peak, now)
		an := send(gw.front, readRequest(fmt.Sprint("ordinary-", number)), 5*time.Second)
		de.record.note("the gateway has %.0f MB; an ordinary request: %s", now, an)
	}
	de.record.note("check: at most %.0f MB of the machine's %d MB", peak, memoryMB)
	return peak > 0 && peak <= memoryMB, nil
}

// unfinishedRequest returns a request whose head has as many fields as fit, and whose body lacks
// its last byte.
func unfinishedRequest() string {
	const body = "0123456789"
	head := fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: crowd\r\nContent-Length: %d\r\n", host, len(body))
	const field = "a:\r\n"
	return head + strings.Repeat(field, (headBytes-len(head))/len(field)) + "\r\n" + body[:len(body)-1]
}

// resident returns the resident memory of a process in MB, as the platform's limits count it:
// 1 MB is 1,048,576 bytes.
func resident(pid int) float64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for text := range strings.SplitSeq(string(data), "\n") {
		if rest, found := strings.CutPrefix(text, "VmRSS:"); found {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}
