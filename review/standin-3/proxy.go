package main

import (
	"net"
	"sync/atomic"
	"time"
)

// proxy stands between one gateway and the store. While it is cut, bytes and new connections
// hang, as behind a partition.
type proxy struct {
	address string
	target  string
	cut     atomic.Bool
	// lastUsed is when the gateway last sent something, in Unix milliseconds.
	lastUsed atomic.Int64
}

// cutPollInterval is the interval at which a cut connection looks whether it is healed.
const cutPollInterval = 10 * time.Millisecond

// wayTime is the delay of a link between zones, one way, as SYSTEM.md says.
const wayTime = 1400 * time.Microsecond

func startProxy(ip, target string) (*proxy, error) {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	pr := &proxy{address: ln.Addr().String(), target: target}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go pr.serve(conn)
		}
	}()
	return pr, nil
}

func (pr *proxy) serve(conn net.Conn) {
	pr.awaitHealed()
	to, err := net.Dial("tcp4", pr.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	go pr.copy(to, conn, true)
	pr.copy(conn, to, false)
}

// copy passes bytes on, and the end of the connection.
func (pr *proxy) copy(to, from net.Conn, isCaller bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		time.Sleep(wayTime)
		pr.awaitHealed()
		if isCaller && count > 0 {
			pr.lastUsed.Store(time.Now().UnixMilli())
		}
		if _, werr := to.Write(buffer[:count]); err != nil || werr != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (pr *proxy) awaitHealed() {
	for pr.cut.Load() {
		time.Sleep(cutPollInterval)
	}
}

// isUsed reports whether the gateway called the store lately.
func (pr *proxy) isUsed() bool {
	const lately = 2500 * time.Millisecond
	return time.Since(time.UnixMilli(pr.lastUsed.Load())) < lately
}
