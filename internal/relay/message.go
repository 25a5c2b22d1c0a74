package relay

import (
	"time"

	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/rollout"
	"filbertstall.example/filbertstall/internal/roster"
)

// Query asks a reader for the changes since an earlier update.
type Query struct {
	// Epoch and Sequence are those of the last update received; zero values
	// request all endpoints.
	Epoch    int64
	Sequence uint64
	// Members requests the registered instances, too: those that changed after
	// MembersSequence, which is that of the last update received.
	Members         bool
	MembersSequence uint64
	// Wait is how long the reader may hold the call open for a change.
	Wait time.Duration
}

// Update is a reader's answer to a Query.
type Update struct {
	Epoch    int64
	Sequence uint64
	// Direct, Unable, Hops, Reader, ConfigurationAge and EndpointsAge are those of
	// the sender's Status. They are fields of their own because an instance of an
	// earlier version sends and reads them so.
	Direct           bool
	Unable           bool
	Hops             int
	Reader           string
	ConfigurationAge time.Duration
	EndpointsAge     time.Duration
	// Silent reports that the store has not answered the sender, or the reader
	// that the sender follows, since the last failed call.
	Silent bool
	// Full reports that Endpoints holds all endpoints, not only the changed
	// ones.
	Full      bool
	Endpoints []roster.Endpoint
	Removed   []string
	// Members are the registered instances that were added or changed, or all of
	// them. An instance stays registered when it stops.
	Members         []loadshare.Member
	MembersSequence uint64
	// Zones are all zones that operators have evacuated.
	Zones []string
	// ZonesUnknown is set if the sender does not know the list of evacuated zones yet: there
	// may be more. Instances of earlier versions don't send it.
	ZonesUnknown bool
	// Version is the version of the configuration in force at the sender.
	Version int64
	// Era is one more than the era of the store that the sender knows, or zero if it
	// knows none.
	Era int64
	// AnsweredAge is one more than the time since the store last answered anyone that the
	// sender knows of, or zero if it knows of no answer. Instances of earlier versions don't
	// send it.
	AnsweredAge time.Duration
	// OutageAge is one more than the time since an outage of the store ended in which
	// entries may have expired, or zero if there was none for long. Instances of earlier
	// versions don't send it.
	OutageAge time.Duration
	// Doubtful is set if the sender reads the store and waits for an answer for longer than
	// one takes. Instances of earlier versions don't send it.
	Doubtful bool
	// Held is how long the sender held the call open.
	Held time.Duration
	// HasOrders is set if Orders are all roll-outs that operators have ordered, and
	// OrdersAge is how long ago the store confirmed them. Instances of earlier versions
	// don't send them.
	HasOrders bool
	Orders    []rollout.Order
	OrdersAge time.Duration
}

// status returns the status of the sender.
func (up Update) status() Status {
	return Status{
		Direct: up.Direct, Unable: up.Unable, Hops: up.Hops, Reader: up.Reader, ConfigurationAge: up.ConfigurationAge, EndpointsAge: up.EndpointsAge,
	}
}
