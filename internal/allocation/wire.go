package allocation

import (
	"errors"
	"time"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/refusal"
)

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Allocation"

// AcquireArgs requests a place from a holder.
type AcquireArgs struct {
	Group    Group
	Instance string
	// Sequence is that of the last sync that the instance composed for the
	// group.
	Sequence int64
	// Key identifies the request. It is unique among all instances, and stays
	// the same when the call is retried.
	Key     string
	Request admission.Request
	// Suspect means that a request with the same fingerprint was running at an
	// endpoint when that crashed.
	Suspect bool
	// NoWait requests a place only if one is free now.
	NoWait bool
	// Wait limits how long the holder waits for a decision before it answers.
	Wait time.Duration
}

// AcquireReply is the reply to AcquireArgs.
type AcquireReply struct {
	Epoch int64
	// Pending means that the request is still queued. The caller repeats the
	// call with the same key.
	Pending  bool
	Endpoint string
	Priority int
	// Reason, Detail and RetryAfter describe a refusal. Reason is empty if the
	// request was not refused.
	Reason     refusal.Reason
	Detail     string
	RetryAfter time.Duration
	// Failure says why the call had no effect. It is empty if it had one.
	Failure ErrorKind
}

func (re *AcquireReply) setRefusal(er *refusal.Error) {
	re.Reason, re.Detail, re.RetryAfter = er.Reason, er.Detail, er.RetryAfter
}

func (re *AcquireReply) refusal() *refusal.Error {
	er := refusal.New(re.Reason, re.Detail)
	er.RetryAfter = re.RetryAfter
	return er
}

// SyncArgs tells a holder everything that an instance has in flight in the
// listed groups.
type SyncArgs struct {
	Instance string
	Groups   []GroupSync
}

// GroupSync is the part of a SyncArgs for one group. The holder rejects it as
// Stale if its Sequence is not higher than that of the last one it processed.
type GroupSync struct {
	Group    Group
	Sequence int64
	// Stamp is the newest stamp received from the holder, or zero for none.
	Stamp int64
	// Epoch is the epoch that Stamp belongs to.
	Epoch int64
	// Waiting lists the keys of the Acquire calls that are not decided yet.
	Waiting []string
	Places  []PlaceSync
	Ended   []EndedSync
	// BootVersion is the version of the boot IDs that the instance knows.
	BootVersion int64
}

// PlaceSync is one request in flight.
type PlaceSync struct {
	Key    string
	Tokens int64
	// Suspect means the same as in AcquireArgs. The holder grants other
	// suspects no place at this endpoint.
	Suspect bool
	// Endpoint and Request are set while the holder may not know the place.
	Endpoint string
	Request  *admission.Request
}

// EndedSync is one place that was released. It is repeated until a sync is
// answered.
type EndedSync struct {
	Key     string
	Outcome admission.Outcome
}

// SyncReply is the reply to SyncArgs, with one element for each of its groups
// and in the same order.
type SyncReply struct {
	Groups []GroupReply
}

// GroupReply is the reply to a GroupSync.
type GroupReply struct {
	Group Group
	Epoch int64
	// Stamp is the holder's time of this reply. The instance echoes it in its
	// next sync.
	Stamp   int64
	Failure ErrorKind
	// Unknown lists the places whose endpoint and request the holder needs
	// with the next sync.
	Unknown []string
	// Boots are the endpoints' boot IDs. They are sent when the instance has
	// another BootVersion.
	BootVersion int64
	Boots       []Boot
}

// Boot is the boot ID that an endpoint last reported.
type Boot struct {
	Endpoint string
	ID       string
	// Warm means that the endpoint has proved since that boot that it supports
	// its full capacity.
	Warm bool
}

// InFlightArgs asks an instance on behalf of a new holder what it has in
// flight.
type InFlightArgs struct {
	Group Group
	// Address is the holder's peer address.
	Address string
	Epoch   int64
	Stamp   int64
}

// InFlightReply is the reply to InFlightArgs. Sync is zero if the instance
// knows a holder with a higher epoch.
type InFlightReply struct {
	Sync GroupSync
}

// ProbeArgs asks whether an instance holds a group's lease. It changes nothing
// at the called instance.
type ProbeArgs struct {
	Group Group
}

// ProbeReply is the reply to ProbeArgs.
type ProbeReply struct {
	Epoch int64
	Held  bool
}

// ViewArgs asks for the newest member view of a zone.
type ViewArgs struct {
	Zone string
}

// ViewReply is the reply to ViewArgs.
type ViewReply struct {
	Members []string
	// Closed means that the newest view contains every member of the
	// instance's older views that may still use a share.
	Closed bool
}

func (gr Group) newError(op string, ki ErrorKind, err error) *Error {
	if err == nil {
		err = errors.New("no underlying error")
	}
	return &Error{Op: op, Group: gr, Kind: ki, Err: err}
}
