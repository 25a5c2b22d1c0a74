// Package peerfake provides an in-memory transport between instances that
// simulates delays, network partitions and lost calls. It counts messages and
// their size in the gob encoding of net/rpc.
//
// # Usage
//
//	ne := peerfake.New(clock)
//	ne.Listen("10.0.0.1:7100", "zilina-a", map[string]any{"Member": service})
//	ca := ne.Caller("10.0.0.1:7100") // a peer.Caller
//	ne.SetIsolated("zilina-a", true) // calls between this and other zones get no answer
package peerfake

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"math/rand/v2"
	"net/rpc"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"filbertstall.example/filbertstall/internal/peer"
)

// Net is an in-memory transport. Set the exported fields before the first call.
// It is safe for concurrent use.
type Net struct {
	// IntraZoneDelay and InterZoneDelay are the one-way delays within a zone and
	// between zones.
	IntraZoneDelay, InterZoneDelay time.Duration

	clock clockwork.Clock

	mu       sync.Mutex
	hosts    map[string]*host
	links    map[[2]string]*link
	isolated map[string]bool
	lossRate float64
	random   *rand.Rand
	messages int
	bytes    int
}

// host is one listening instance.
type host struct {
	zone     string
	up       bool
	services map[string]any
}

// link encodes and decodes the messages of one direction between two hosts with
// gob. Like a connection of net/rpc it transmits type descriptions only once.
type link struct {
	mu  sync.Mutex
	buf bytes.Buffer
	enc *gob.Encoder
	dec *gob.Decoder
}

// New returns a transport without hosts.
func New(clock clockwork.Clock) *Net {
	return &Net{clock: clock, hosts: make(map[string]*host), links: make(map[[2]string]*link), isolated: make(map[string]bool)}
}

// Listen adds a host whose services are reachable at an address.
func (ne *Net) Listen(address, zone string, services map[string]any) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.hosts[address] = &host{zone: zone, up: true, services: services}
}

// Close makes an address refuse connections.
func (ne *Net) Close(address string) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.hosts[address].up = false
}

// SetIsolated isolates a zone from all others, or ends its isolation.
func (ne *Net) SetIsolated(zone string, isolated bool) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.isolated[zone] = isolated
}

// SetLossRate drops calls at random. The rate is between 0 and 1; a dropped
// call gets no answer.
func (ne *Net) SetLossRate(lossRate float64, random *rand.Rand) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.lossRate, ne.random = lossRate, random
}

// Traffic returns the number of messages and bytes that all hosts have sent.
func (ne *Net) Traffic() (messages, bytes int) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return ne.messages, ne.bytes
}

// Caller returns the peer.Caller of the host at an address.
func (ne *Net) Caller(address string) peer.Caller { return caller{net: ne, address: address} }

type caller struct {
	net     *Net
	address string
}

// errNoAnswer is the cause in errors of the kinds peer.Unreachable and peer.Lost.
var errNoAnswer = errors.New("fake: no answer")

// Call implements peer.Caller.
func (ca caller) Call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := clockwork.WithTimeout(ctx, ca.net.clock, peer.CallTimeout)
	defer cancel()
	to, delay, open := ca.net.route(ca.address, address)
	if to == nil {
		return &peer.Error{Op: method, Peer: address, Kind: peer.Unreachable, Err: errNoAnswer}
	}
	lost := &peer.Error{Op: method, Peer: address, Kind: peer.Lost, Err: errNoAnswer}
	if !open {
		<-ctx.Done()
		return lost
	}
	fn, argType, err := findMethod(to.services, method)
	if err != nil {
		return &peer.Error{Op: method, Peer: address, Kind: peer.Remote, Err: err}
	}
	in := reflect.New(argType)
	ca.net.send(ca.address, address, &rpc.Request{ServiceMethod: method}, args, in.Interface())
	if !ca.wait(ctx, delay) {
		return lost
	}
	out := reflect.New(reflect.TypeOf(reply).Elem())
	result := fn.Call([]reflect.Value{in.Elem(), out})[0]
	if failure, failed := result.Interface().(error); failed {
		return &peer.Error{Op: method, Peer: address, Kind: peer.Remote, Err: failure}
	}
	ca.net.send(address, ca.address, &rpc.Response{ServiceMethod: method}, out.Interface(), reply)
	if !ca.wait(ctx, delay) || !ca.net.up(ca.address, address) {
		return lost
	}
	return nil
}

func (ca caller) wait(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-ca.net.clock.After(delay):
		return true
	}
}

// route returns the host at an address, the one-way delay to it, and whether a
// call reaches it. The host is nil if either side is not running.
func (ne *Net) route(from, to string) (*host, time.Duration, bool) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	target, found := ne.hosts[to]
	source, known := ne.hosts[from]
	if !found || !target.up || !known || !source.up {
		return nil, 0, false
	}
	delay := ne.InterZoneDelay
	if source.zone == target.zone {
		delay = ne.IntraZoneDelay
	}
	partitioned := source.zone != target.zone && (ne.isolated[source.zone] || ne.isolated[target.zone])
	dropped := ne.lossRate > 0 && ne.random.Float64() < ne.lossRate
	return target, delay, !partitioned && !dropped
}

func (ne *Net) up(addresses ...string) bool {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	for _, address := range addresses {
		if !ne.hosts[address].up {
			return false
		}
	}
	return true
}

func findMethod(services map[string]any, method string) (fn reflect.Value, args reflect.Type, err error) {
	service, name, _ := strings.Cut(method, ".")
	fn = reflect.ValueOf(services[service])
	if fn.IsValid() {
		fn = fn.MethodByName(name)
	}
	if !fn.IsValid() {
		return fn, nil, errors.New("fake: no method " + method)
	}
	return fn, fn.Type().In(0), nil
}

// send encodes a header and a value on the link, decodes the value into the
// target of the pointer into, and counts both as one message.
func (ne *Net) send(from, to string, header, value, into any) {
	li := ne.link(from, to)
	li.mu.Lock()
	defer li.mu.Unlock()
	failures := errors.Join(li.enc.Encode(header), li.enc.Encode(value))
	size := li.buf.Len()
	headerCopy := reflect.New(reflect.TypeOf(header).Elem()).Interface()
	failures = errors.Join(failures, li.dec.Decode(headerCopy), li.dec.Decode(into))
	if failures != nil {
		panic(failures)
	}
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.messages++
	ne.bytes += size
}

func (ne *Net) link(from, to string) *link {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	key := [2]string{from, to}
	li, found := ne.links[key]
	if !found {
		li = &link{}
		li.enc, li.dec = gob.NewEncoder(&li.buf), gob.NewDecoder(&li.buf)
		ne.links[key] = li
	}
	return li
}
