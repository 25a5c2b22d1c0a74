package rollout

import "time"

// Sample is one finished answer of an endpoint.
type Sample struct {
	Route string
	// Failed is set for an answer that a caller would see as an error of the endpoint.
	Failed bool
	// Crashed is set if the endpoint process ended during the request. It counts once
	// for each process.
	Crashed bool
	// LinkLost is set if the connection was lost and the endpoint did not crash. Such
	// a sample is not counted.
	LinkLost bool
	// Latency is the time to the answer, or to the first event of a stream.
	Latency time.Duration
}
