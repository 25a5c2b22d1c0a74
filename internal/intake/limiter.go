package intake

import (
	"cmp"
	"container/list"
	"sync"
	"time"
)

// Cause is why a connection was closed.
type Cause string

// The causes that a Limiter reports.
const (
	// HeadTimeout means that the head of a request was not complete in time.
	HeadTimeout Cause = "head_timeout"
	// BodyTimeout means that no byte of a body arrived for too long.
	BodyTimeout Cause = "body_timeout"
	// Displaced means that a connection without a request in progress was closed for
	// another one.
	Displaced Cause = "displaced"
	// Full means that a connection was not accepted, because all others serve requests.
	Full Cause = "full"
	// NoDescriptor means that no connection could be accepted, because the process had no
	// descriptor left.
	NoDescriptor Cause = "no_descriptor"
)

// Causes returns all causes.
func Causes() []Cause { return []Cause{HeadTimeout, BodyTimeout, Displaced, Full, NoDescriptor} }

// defaultSilentBytes is the memory of a connection on which nothing has arrived yet.
const defaultSilentBytes = 8 << 10

// Limiter limits the connections of its listeners. Set the exported fields before Listen. It
// is safe for concurrent use.
type Limiter struct {
	// Bytes limits the memory of all connections, in bytes. Zero means that there is no
	// limit.
	Bytes int64
	// ActiveBytes is the memory of a connection from its first byte on: the buffers of the
	// server and the stack of its goroutine.
	ActiveBytes int64
	// SilentBytes is the memory of a connection before its first byte. A TLS listener has
	// done the handshake, or a part of it, by then. Zero means 8 KiB.
	SilentBytes int64
	// Conns limits the open connections. Zero means that there is no limit.
	Conns int
	// SilentTimeout is the longest time for which a new connection may be silent. Zero means
	// that there is no limit.
	SilentTimeout time.Duration
	// HeadTimeout returns the time from the first byte of a request within which its head
	// must be complete. If it is nil, there is no limit.
	HeadTimeout func() time.Duration
	// BodyTimeout is the longest time between two reads of a body that bring bytes. Zero
	// means that there is no limit.
	BodyTimeout time.Duration
	// OnClose is called for each connection that is closed or not accepted. It may be nil.
	OnClose func(Cause)

	mu    sync.Mutex
	used  int64
	conns int
	// fresh has the connections that serve no request and have not brought a whole one
	// yet, proven those that have. Both are in the order in which they may be closed.
	fresh, proven list.List
}

// Open returns the number of open connections.
func (li *Limiter) Open() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.conns
}

// admit counts a new connection. It returns false if there is no room for it.
func (li *Limiter) admit(cn *Conn) bool {
	li.mu.Lock()
	li.conns++
	cn.bytes = cmp.Or(li.SilentBytes, defaultSilentBytes)
	li.used += cn.bytes
	cn.waiting, cn.element = &li.fresh, li.fresh.PushBack(cn)
	victims, enough := li.makeRoom(cn)
	if !enough {
		li.forget(cn)
	}
	li.mu.Unlock()
	li.close(victims)
	return enough
}

// activate counts the memory of a connection on which bytes have arrived. It returns false
// if there is no room for it.
func (li *Limiter) activate(cn *Conn) bool {
	li.mu.Lock()
	if cn.closed || cn.bytes == li.ActiveBytes {
		defer li.mu.Unlock()
		return !cn.closed
	}
	li.used += li.ActiveBytes - cn.bytes
	cn.bytes = li.ActiveBytes
	victims, enough := li.makeRoom(cn)
	li.mu.Unlock()
	li.close(victims)
	return enough
}

// makeRoom removes the connections that must be closed so that the bounds hold, and returns
// them. It returns false if they don't hold even so. The connection in favor of which this
// happens is kept.
func (li *Limiter) makeRoom(favored *Conn) (victims []*Conn, enough bool) {
	for li.exceeded() {
		victim := li.nextVictim(favored)
		if victim == nil {
			return victims, false
		}
		li.forget(victim)
		victims = append(victims, victim)
	}
	return victims, true
}

func (li *Limiter) exceeded() bool {
	return li.Bytes > 0 && li.used > li.Bytes || li.Conns > 0 && li.conns > li.Conns
}

// nextVictim returns the connection that is the next to be closed for others, but not the
// favored one, or nil if there is none.
func (li *Limiter) nextVictim(favored *Conn) *Conn {
	if victim := firstBut(&li.fresh, favored); victim != nil {
		return victim
	}
	return firstBut(&li.proven, favored)
}

// firstBut returns the first connection of a list that is not the given one, or nil.
func firstBut(waiting *list.List, favored *Conn) *Conn {
	for el := waiting.Front(); el != nil; el = el.Next() {
		if cn, _ := el.Value.(*Conn); cn != favored {
			return cn
		}
	}
	return nil
}

// forget ends the counting of a connection. li.mu must be locked.
func (li *Limiter) forget(cn *Conn) {
	if cn.closed {
		return
	}
	cn.closed = true
	li.conns--
	li.used -= cn.bytes
	li.leaveWaiting(cn)
}

// leaveWaiting removes a connection from the list in which it waits. li.mu must be locked.
func (li *Limiter) leaveWaiting(cn *Conn) {
	if cn.element == nil {
		return
	}
	cn.waiting.Remove(cn.element)
	cn.waiting, cn.element = nil, nil
}

// serve marks a connection as serving a request. It returns false if the connection was
// closed.
func (li *Limiter) serve(cn *Conn) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.leaveWaiting(cn)
	return !cn.closed
}

// rest marks a connection as idle after a request.
func (li *Limiter) rest(cn *Conn) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if !cn.closed {
		cn.waiting, cn.element = &li.proven, li.proven.PushBack(cn)
	}
}

// release ends the counting of a connection that its server closes.
func (li *Limiter) release(cn *Conn) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.forget(cn)
}

// displace closes the connection that is the first to be closed for others, if there is one.
func (li *Limiter) displace() {
	li.mu.Lock()
	victim := li.nextVictim(nil)
	if victim != nil {
		li.forget(victim)
	}
	li.mu.Unlock()
	if victim != nil {
		li.close([]*Conn{victim})
	}
}

// close closes connections that are no longer counted.
func (li *Limiter) close(victims []*Conn) {
	for _, cn := range victims {
		_ = cn.Conn.Close()
		li.report(Displaced)
	}
}

func (li *Limiter) report(ca Cause) {
	if li.OnClose != nil {
		li.OnClose(ca)
	}
}
