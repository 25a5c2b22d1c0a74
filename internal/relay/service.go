package relay

import (
	"context"
	"time"

	"filbertstall.example/filbertstall/internal/peer"
)

// ServiceName is the name under which Service is registered with a peer.Server.
const ServiceName = "Relay"

// Service is the net/rpc service that other instances call.
type Service struct{ lo *Log }

// Service returns the net/rpc service of the log.
func (lo *Log) Service() *Service { return &Service{lo: lo} }

// maxWait is the upper limit for Query.Wait.
const maxWait = 2 * time.Second

// None is the argument of methods that need none.
type None struct{}

// Text is a configuration in the serialized form that the store holds.
type Text struct {
	Version int64
	Source  []byte
}

// Configuration returns the configuration in force; its version is zero if
// there is none.
func (se *Service) Configuration(_ None, te *Text) (err error) {
	defer peer.Recover(&err)
	if cf := se.lo.State.Load(); cf != nil {
		te.Version, te.Source = cf.Version, cf.Source()
	}
	return nil
}

// Watch answers a query with Wait.
func (se *Service) Watch(qu Query, up *Update) (err error) {
	defer peer.Recover(&err)
	qu.Wait = min(qu.Wait, maxWait)
	*up = se.lo.Wait(context.Background(), qu)
	return nil
}

// Status states whether an instance can be followed.
type Status struct {
	// Direct reports that the sender reads the store itself.
	Direct bool
	// Unable reports that the sender cannot read the store: its last attempt was
	// not answered.
	Unable bool
	// Hops is the number of instances between the sender and the store. It is
	// zero if Direct is set, or if the sender follows no instance.
	Hops int
	// Reader is the instance that reads the store at the end of these hops; empty
	// if Hops is zero.
	Reader string
	// ConfigurationAge and EndpointsAge are the time since the store last
	// confirmed the configuration and the endpoints.
	ConfigurationAge time.Duration
	EndpointsAge     time.Duration
	// Unbroken is for how long the store has answered, the sender or others, without a pause
	// in which entries may expire. Instances of earlier versions send zero.
	Unbroken time.Duration
	// Version is one more than the version of the configuration in force, or one if there
	// is none. Instances of earlier versions leave it zero.
	Version int64
	// Informed reports that the sender has run for long enough to know what others know.
	Informed bool
	// Zones are the zones that operators have evacuated, as far as the sender knows.
	// Instances of earlier versions send none.
	Zones []string
}

// Status returns the state of this instance as a reader.
func (se *Service) Status(_ None, st *Status) (err error) {
	defer peer.Recover(&err)
	se.lo.mu.Lock()
	defer se.lo.mu.Unlock()
	*st = se.lo.status()
	st.Version = se.lo.versionInForce() + 1
	st.Informed = se.lo.Informed == nil || se.lo.Informed()
	st.Zones = se.lo.Roster.View().Evacuated()
	return nil
}
