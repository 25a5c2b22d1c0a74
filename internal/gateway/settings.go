package gateway

import (
	"net/netip"
	"time"

	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/rollout"
)

// Settings are the values that an instance needs before it can reach the store.
// The platform's adapter reads them from the platform's settings file.
type Settings struct {
	// Instance is the instance's name.
	Instance string
	Zone     string
	// ZoneCount is the number of availability zones of the deployment. With more than
	// one, package spillover decides which requests leave their zone.
	ZoneCount int
	// Callers, Readiness and Metrics are the addresses to listen on. If Metrics
	// is empty, metrics are not served.
	Callers   string
	Readiness string
	Metrics   string
	// Peers is the address for datagrams and calls between instances. If it is
	// empty, the instance exchanges nothing with others.
	Peers string
	// Forwards is the address for requests that other instances forward. If it is empty,
	// the instance takes none.
	Forwards string
	// LinkMbps is the network bandwidth of the instance, in Mbit/s.
	LinkMbps int
	// MemoryBytes is the memory that the process may use. Zero means that it is not
	// known.
	MemoryBytes int64
	// MaxFiles is the number of descriptors that the process may have open. Zero means that
	// it is not known.
	MaxFiles int
	// Store is the address of the platform's store.
	Store string
	// RequireKeys is set if the platform's rules on keys are in force: a configuration
	// without a list of teams then has no valid key.
	RequireKeys bool
	// KeyRevocationBound is the longest time for which an instance may still
	// accept a key after its revocation. Zero means that there is no such bound.
	KeyRevocationBound time.Duration
	// ConfigurationBound is the time within which a new configuration must be in
	// effect. Zero means that there is no such bound.
	ConfigurationBound time.Duration
	// EntryRenewal is about the interval at which endpoints renew their entries in the store,
	// which removes an entry after three of them. Zero means that it is not known.
	EntryRenewal time.Duration
	// ShutdownTimeout is the time from SIGTERM to SIGKILL. Values of up to 500 ms
	// (shutdownMargin) select defaultShutdownTimeout, 8 s.
	ShutdownTimeout time.Duration
	// RetryRatio, RetryWindow and RetryExtra are the retry budget of all instances
	// together: for each service and within a sliding window, RetryRatio retries per
	// request and RetryExtra more. A zero RetryWindow selects defaultRetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  float64
	// SlowCallers is set if callers may read streams more slowly than endpoints send
	// them. Streams are then read ahead (package readahead).
	SlowCallers bool
	// Rollout has the rules of roll-outs. A zero Share means that operators order none.
	Rollout rollout.Bounds
}

// needsRestart reports whether settings differ that Gateway.Reload does not apply.
func (se Settings) needsRestart(old Settings) bool {
	se.Store, se.KeyRevocationBound, se.ConfigurationBound = old.Store, old.KeyRevocationBound, old.ConfigurationBound
	se.RequireKeys = old.RequireKeys
	return se != old
}

// lapseRenewals is the shortest outage, in renewals of entries, in which an entry may expire
// whose endpoint lives. An entry lasts three; of these, the last one before the outage may
// have come a little over one before it.
const lapseRenewals = 1.8

// lapseTime returns the shortest outage of the store in which an entry may expire whose
// endpoint lives. Zero means that it is not known.
func (se Settings) lapseTime() time.Duration {
	return time.Duration(lapseRenewals * float64(se.EntryRenewal))
}

// member returns the entry of the instance in the list of instances. Its address is
// the zero value if Peers is empty.
func (se Settings) member() loadshare.Member {
	address, _ := netip.ParseAddrPort(se.Peers)
	forwards, _ := netip.ParseAddrPort(se.Forwards)
	return loadshare.Member{Name: se.Instance, Zone: se.Zone, Address: address, Forwards: forwards, LinkMbps: se.LinkMbps}
}
