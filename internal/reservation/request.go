package reservation

import (
	"fmt"
	"time"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/routing"
)

// Request describes a request that needs an engine.
type Request struct {
	// ID identifies the request among those that wait.
	ID      string
	Service string
	// Engine describes the engines of the service. Prompt and Output are as in
	// placement.Demand.
	Engine routing.Engine
	Prompt int
	Output int
	// Team is the caller's team, and Priority the rank of the request; 0 is the most urgent.
	Team     string
	Priority int
	// Key is the same if the caller sends the request again. Zero means that it is not
	// known.
	Key uint64
	// OnTime is the time that is left for an answer that is on time, and Remaining for any
	// answer. MaxWait is how long the request may wait for an engine. Zero means that it
	// takes one without room.
	OnTime, Remaining, MaxWait time.Duration
	// Exclude has the IDs of the engines that the request must not get,
	Exclude []string
	// Unreachable of those to which the asking instance found no connection recently.
	Unreachable []string
}

// demand returns what the request asks of an engine.
func (re *Request) demand() placement.Demand {
	return placement.Demand{Engine: &re.Engine, Prompt: re.Prompt, Output: re.Output, Service: re.Service, Request: re.ID}
}

// startBy returns when the request must get an engine for an answer that is on time.
func (re *Request) startBy(now time.Duration) time.Duration {
	return now + re.OnTime - re.demand().ReadTime()
}

// TakeArgs asks an allocator for an engine.
type TakeArgs struct {
	Request Request
	// Zone is the availability zone for which the asked instance decides.
	Zone string
	// From is the instance that asks.
	From string
	// Hold is how long the call may be held if the request has to wait.
	Hold time.Duration
	// Without has the instances of the zone that did not answer the one that asks.
	Without []string
	// Within restricts the choice to the engines of Zone.
	Within bool
	// Foreign is set if the asking instance is of another zone, whose allocator named
	// this one. Such requests don't wait here.
	Foreign bool
	// MaxCost restricts the choice to engines that cost less. Zero means no limit.
	MaxCost float64

	// narrow is set by the allocator if few engines may get the request.
	narrow bool
}

// Decision is what an allocator does with a request.
type Decision int

const (
	// NotAllocator means that the asked instance does not decide for the zone, or not
	// yet.
	NotAllocator Decision = iota
	// Granted means that the request has an engine.
	Granted
	// NoEngine means that no engine is usable, or for a foreign request, that none has
	// room below MaxCost or that others wait for room.
	NoEngine
	// Waiting means that the request waits, and that its instance must ask again.
	Waiting
	// Full means that no engine has room in time.
	Full
)

// TakeReply is the answer to TakeArgs.
type TakeReply struct {
	Decision Decision
	// Grant is the number of the grant, which no other has.
	Grant uint64
	// Endpoint is the ID of the engine, Cost what it costs, and Load its load before the
	// request.
	Endpoint string
	Cost     float64
	Load     placement.Load
	// OtherZone is set if the engines of another zone seem to be better, by loads that
	// are older than those of that zone's allocator. They are better below MaxCost, which
	// is zero if the own zone has no engine to grant.
	OtherZone string
	MaxCost   float64
	// After is the time after which an engine may have room, if it is known.
	After time.Duration
}

// LeaveArgs tells an allocator that a request no longer waits.
type LeaveArgs struct{ Service, ID string }

// LeaveReply is the answer to LeaveArgs.
type LeaveReply struct {
	// Reserved is unused. It is present because gob cannot encode empty structs.
	Reserved bool
}

// Kind is the kind of an Error.
type Kind string

// The kinds of error. The request was not run.
const (
	// Refused means that the expected wait is longer than the request can wait, or that
	// too many wait.
	Refused Kind = "refused"
	// NoRoom means that the request waited and no engine had room in time.
	NoRoom Kind = "no_room"
	// Left means that the caller left, or that the time of the request passed.
	Left Kind = "left"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// After is the time after which an engine may have room. Zero means that it is not
	// known.
	After time.Duration
}

// Error implements error.
func (er *Error) Error() string {
	return fmt.Sprintf("reservation: %s: %s, room is expected in %s", er.Op, er.Kind, er.After)
}
