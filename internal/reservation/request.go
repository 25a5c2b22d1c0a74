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
	// Exclude has the IDs of the engines that the request must not get.
	Exclude []string
	// Unreachable has those to which the asking instance found no connection lately.
	Unreachable []string
}

// demand returns what the request asks of an engine.
func (re *Request) demand() placement.Demand {
	return placement.Demand{Engine: &re.Engine, Prompt: re.Prompt, Output: re.Output}
}

// TakeArgs asks an allocator for an engine.
type TakeArgs struct {
	Request Request
	// Zone is the availability zone for which the asked instance decides.
	Zone string
	// From is the instance that asks.
	From string
	// Within restricts the choice to the engines of Zone, and MaxCost to those that
	// cost less than that. It is set if another zone's allocator sent the request here.
	Within  bool
	MaxCost float64
}

// Decision is what an allocator does with a request.
type Decision int

const (
	// NotAllocator means that the asked instance does not decide for the zone, or not
	// yet.
	NotAllocator Decision = iota
	// Granted means that the request has an engine.
	Granted
	// NoEngine means that no engine is usable.
	NoEngine
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
	// are older than those of that zone's allocator. They are better below MaxCost.
	OtherZone string
	MaxCost   float64
}

// Kind is the kind of an Error.
type Kind string

// Refused means that the request did not get an engine and was not run.
const Refused Kind = "refused"

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// After is the time after which an engine may have room.
	After time.Duration
}

// Error implements error.
func (er *Error) Error() string {
	return fmt.Sprintf("reservation: %s: %s, room is expected in %s", er.Op, er.Kind, er.After)
}
