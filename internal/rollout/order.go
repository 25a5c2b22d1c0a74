package rollout

import "time"

// Order is what an operator wants, with the state that the store has of it. An Order
// is immutable. Service and Target identify it.
type Order struct {
	Service, Target string
	// Budget is the time from the order to its end.
	Budget time.Duration
	// Revision is that of the store's entry; a write of the status is conditional on it.
	Revision int64
	// State is the store's. A status that names another target counts as Pending.
	State State
	// Age is a lower bound of the time since the operator wrote the order, at the time
	// of Put: what the status says, or what the reader that is followed says.
	Age time.Duration
}

// WithState returns a copy with another state.
func (or Order) WithState(st State) Order {
	or.State = st
	return or
}

// WithRevision returns a copy with another revision.
func (or Order) WithRevision(revision int64) Order {
	or.Revision = revision
	return or
}

// WithAge returns a copy with another age.
func (or Order) WithAge(age time.Duration) Order {
	or.Age = age
	return or
}

// Bounds are the rules of a deployment.
type Bounds struct {
	// Share is the part of the requests of a service, between the order and the end of
	// its budget, that a bad version may get. Zero: the deployment has no roll-outs.
	Share float64
	// Slack is the number of requests on top of Share.
	Slack int
	// RollBackTime is the time after the 50th bad answer beyond which no request may
	// be sent to a bad version. The package does not read it: its periods are constants.
	RollBackTime time.Duration
}

// Transition is a status that should be written now.
type Transition struct {
	Service, Target string
	State           State
	// Revision is the one that the write must be conditional on.
	Revision int64
	// Age is the order's age. It is written with the status, so that instances that
	// start later know it.
	Age time.Duration
	// Reason says in a few words why, for the log and the status.
	Reason string
}
