package gateway

import "time"

// Settings is what an instance must know before it reaches the store. An
// adapter reads them from the platform's file.
type Settings struct {
	// Instance is the instance's name.
	Instance string
	Zone     string
	// Callers, Readiness and Metrics are addresses to listen on; an empty
	// Metrics serves none.
	Callers   string
	Readiness string
	Metrics   string
	// Peers is the address for datagrams between instances; empty means that
	// the instance neither tells nor hears others.
	Peers string
	// Link is the bandwidth of the instance, in Mbit/s.
	Link int
	// Store is the address of the platform's store.
	Store string
	// KeyBound is the time after which a key that was taken away must not be
	// accepted by any instance; zero means that there is no such bound.
	KeyBound time.Duration
	// ConfigurationBound is the time within which a configuration must be in
	// force.
	ConfigurationBound time.Duration
	// StopBound is the time from SIGTERM to SIGKILL.
	StopBound time.Duration
	// RetryRatio, RetrySpan and RetryExtra bound repeats over all instances.
	RetryRatio float64
	RetrySpan  time.Duration
	RetryExtra float64
}
