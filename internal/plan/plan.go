package plan

import (
	"slices"
	"time"
)

// State is the state of a plan. The terminal states are Done, Refused and
// Canceled.
type State string

// The states of a plan.
const (
	// Planned means that the plan is stored but not confirmed; it has changed
	// nothing.
	Planned State = "planned"
	// Confirmed means that an operator has confirmed the plan and that its steps
	// are being executed.
	Confirmed State = "confirmed"
	// Done means that all steps have finished.
	Done State = "done"
	// Refused means that the confirmation failed because the configuration had
	// changed since the plan was made, because a running plan locks one of its
	// objects, or because the plan was being canceled. Nothing was changed.
	Refused State = "refused"
	// Canceled means that an operator canceled the plan.
	Canceled State = "canceled"
)

// Terminal reports whether no other state follows.
func (st State) Terminal() bool { return st == Done || st == Refused || st == Canceled }

// Action is what a step does.
type Action string

// The actions of steps.
const (
	// Configure publishes changes to the configuration.
	Configure Action = "configure"
	// AwaitInForce waits until a configuration version is in force on every
	// instance.
	AwaitInForce Action = "await_force"
	// AwaitEndpointsIdle waits until no instance has a request in flight at the
	// step's endpoints.
	AwaitEndpointsIdle Action = "await_idle"
	// AwaitZonesIdle waits until no request is in flight in the step's zones, or
	// until zonesIdleTimeout.
	AwaitZonesIdle Action = "await_quiet"
	// StopInstance asks an entry instance to shut down gracefully and waits until
	// it has stopped.
	StopInstance Action = "stop_instance"
	// AwaitReplacement waits until a new instance is live in the zone of the
	// stopped one.
	AwaitReplacement Action = "await_replacement"
)

// StepState is the state of a step.
type StepState string

// The states of a step.
const (
	StepPending StepState = "pending"
	StepRunning StepState = "running"
	StepDone    StepState = "done"
)

// Step is one step of a plan.
type Step struct {
	Action Action `json:"action"`
	// Title describes the step to an operator.
	Title   string   `json:"title"`
	Changes []Change `json:"changes,omitempty"`
	// Endpoints are waited for by AwaitEndpointsIdle, Zones by AwaitZonesIdle.
	Endpoints []string `json:"endpoints,omitempty"`
	Zones     []string `json:"zones,omitempty"`
	// Instance, Zone and InstanceStarted identify the instance to stop. The start
	// time tells it from a later instance of the same name.
	Instance        string    `json:"instance,omitempty"`
	Zone            string    `json:"zone,omitempty"`
	InstanceStarted time.Time `json:"launched,omitzero"`
	// Capacity is the capacity that remains while the step runs.
	Capacity []Capacity `json:"capacity,omitempty"`

	State    StepState `json:"state"`
	Started  time.Time `json:"started,omitzero"`
	Finished time.Time `json:"finished,omitzero"`
	// Version is the configuration version that the step published or waits for.
	Version int64 `json:"version,omitempty"`
	// Note tells an operator what the step waits for, or what was unfinished when
	// it ended.
	Note string `json:"note,omitempty"`
}

// Base is the base version of a plan: the configuration that it was made
// from. Shards are the hashes of the shards of that version. A plan is refused
// if the head lists other shards when it is confirmed.
type Base struct {
	Version int64    `json:"version"`
	Shards  []string `json:"shards"`
}

// Plan is the sequence of steps that carries out an intent. It is stored as one
// object in the platform.
type Plan struct {
	ID     string `json:"id"`
	Reason string `json:"reason,omitempty"`
	// Intent is the text of the intent file.
	Intent string    `json:"intent"`
	Author string    `json:"author"`
	Made   time.Time `json:"made"`
	Base   Base      `json:"ground"`
	Steps  []Step    `json:"steps"`
	// Objects are the objects, each as "kind/name", that the plan locks against
	// other plans from its confirmation to its end.
	Objects []string `json:"objects,omitempty"`

	State     State     `json:"state"`
	Confirmer string    `json:"confirmer,omitempty"`
	Confirmed time.Time `json:"confirmed,omitzero"`
	Ended     time.Time `json:"ended,omitzero"`
	// Note says which running plan locked one of the objects when the plan was
	// made, why the plan was refused, or which changes of a canceled plan remain.
	Note string `json:"note,omitempty"`
	// ChangesSinceBase lists the changes to the configuration between the base
	// version and the refusal.
	ChangesSinceBase []Change `json:"since,omitempty"`

	// Owner is the name of the instance that executes the plan. Its claim expires
	// at ClaimedUntil, after which another instance can take over.
	Owner        string    `json:"owner,omitempty"`
	ClaimedUntil time.Time `json:"until,omitzero"`
}

// Current returns the index of the first step that is not done, or the number
// of steps.
func (pl Plan) Current() int {
	ix := slices.IndexFunc(pl.Steps, func(st Step) bool { return st.State != StepDone })
	if ix < 0 {
		return len(pl.Steps)
	}
	return ix
}

// WithStep returns a copy of the plan with the step at index ix replaced.
func (pl Plan) WithStep(ix int, st Step) Plan {
	pl.Steps = slices.Clone(pl.Steps)
	pl.Steps[ix] = st
	return pl
}

// WithEnd returns a copy of the plan in a terminal state and without an owner.
func (pl Plan) WithEnd(st State, note string, at time.Time) Plan {
	pl.State, pl.Note, pl.Ended = st, note, at
	pl.Owner, pl.ClaimedUntil = "", time.Time{}
	return pl
}
