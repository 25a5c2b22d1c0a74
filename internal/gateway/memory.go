package gateway

import (
	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/ingress"
	"filbertstall.example/filbertstall/internal/readahead"
)

const (
	// bodiesDivisor and readAheadDivisor divide the memory of the process to get the
	// limits for bodies, and for streams that are read ahead. The rest is for all that
	// does not grow with what others send, and for the garbage collector.
	bodiesDivisor    = 4
	readAheadDivisor = 8
	// storeDivisor divides the memory of the process to get the limit for the answers of
	// the store that are being received.
	storeDivisor = 8
	// defaultStoreBytes is that limit if the memory of the process is not known.
	defaultStoreBytes = 32 << 20
	// callersDivisor, forwardsDivisor and callsDivisor divide the memory of the process to
	// get the limits for the connections of callers, of instances that forward requests, and
	// of those that make calls.
	callersDivisor  = 6
	forwardsDivisor = 24
	callsDivisor    = 16
	// messagesDivisor divides it to get the limit for the messages and calls of instances.
	messagesDivisor = 16
	// maxBodyDivisor divides the limit for bodies to get that for the body of one request,
	// which is copied once.
	maxBodyDivisor = 3
	// defaultBodyBytes is the limit for bodies if the memory of the process is not known.
	defaultBodyBytes = 48 << 20
	// defaultMemoryBytes is the memory by which connections are limited if that of the
	// process is not known.
	defaultMemoryBytes = 512 << 20
	// heapShare is the share of the memory of the process above which the garbage
	// collector runs more often instead of letting the heap double.
	heapShare = 0.7
)

// memory has the limits for data whose size others decide.
type memory struct {
	bodies    *buffer.Budget
	readAhead *readahead.Budget
	// maxBody limits the body of one request.
	maxBody int
	// callers, forwards and calls limit the connections of callers, of instances that forward
	// requests, and of those that make calls, in bytes.
	callers, forwards, calls int64
	// messages limits the messages and calls of other instances.
	messages *buffer.Budget
}

// divideMemory divides the memory of the process, in bytes.
func divideMemory(total int64) memory {
	bodies, readAhead := int64(defaultBodyBytes), int64(readahead.DefaultBytes)
	if total > 0 {
		bodies, readAhead = total/bodiesDivisor, min(total/readAheadDivisor, readAhead)
	}
	connections := int64(defaultMemoryBytes)
	if total > 0 {
		connections = total
	}
	return memory{
		callers: connections / callersDivisor, forwards: connections / forwardsDivisor, calls: connections / callsDivisor,
		messages: &buffer.Budget{Bytes: connections / messagesDivisor},
		bodies:   &buffer.Budget{Bytes: bodies}, readAhead: &readahead.Budget{Bytes: int(readAhead)},
		maxBody: int(min(bodies/maxBodyDivisor, ingress.DefaultMaxBodyBytes)),
	}
}

// StoreMemory returns the budget of the answers of the store that are being received.
func (se Settings) StoreMemory() *buffer.Budget {
	if se.MemoryBytes <= 0 {
		return &buffer.Budget{Bytes: defaultStoreBytes}
	}
	return &buffer.Budget{Bytes: se.MemoryBytes / storeDivisor}
}

// HeapLimit returns the memory that the Go runtime may use, in bytes, or 0 if the memory
// of the process is not known.
func (se Settings) HeapLimit() int64 { return int64(heapShare * float64(se.MemoryBytes)) }
