package main

import (
	"net"
	"sync"
)

// proxy passes connections on to a target. It can let open ones go silent for good: then it
// passes nothing on and closes nothing, while new ones work.
type proxy struct {
	target  string
	address string

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is one connection.
type link struct {
	from, to net.Conn

	mu     sync.Mutex
	silent bool
}

func newProxy(ln net.Listener, target string) *proxy {
	pr := &proxy{target: target, address: ln.Addr().String(), links: make(map[*link]struct{})}
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			go pr.open(from)
		}
	}()
	return pr
}

func (pr *proxy) open(from net.Conn) {
	to, err := net.Dial("tcp4", pr.target)
	if err != nil {
		_ = from.Close()
		return
	}
	li := &link{from: from, to: to}
	pr.mu.Lock()
	pr.links[li] = struct{}{}
	pr.mu.Unlock()
	go pr.pump(li, from, to)
	pr.pump(li, to, from)
}

func (pr *proxy) pump(li *link, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		li.mu.Lock()
		silent := li.silent
		li.mu.Unlock()
		if !silent && count > 0 {
			_, _ = to.Write(buffer[:count])
		}
		if err != nil {
			if !silent {
				_ = from.Close()
				_ = to.Close()
			}
			pr.mu.Lock()
			delete(pr.links, li)
			pr.mu.Unlock()
			return
		}
	}
}
