// Package metric resolves the counters of the request path once, so that a
// request only adds to them.
//
// # Usage
//
//	ro := metric.NewRoot()
//	defer ro.Close()
//	refusals := metric.Reasons(ro.Scope, "refusals", reasons)
//	refusals[refusal.QueueFull].Inc(1)
package metric

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// Root is the root of a process's metrics.
type Root struct {
	Scope tally.Scope
	// Handler serves the metrics as Prometheus text.
	Handler http.Handler

	closer io.Closer
}

// NewRoot returns a root that reports through tally's Prometheus reporter.
func NewRoot() *Root {
	// A registry of its own: two roots in one process must not meet.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "filbertstall", Separator: prometheus.DefaultSeparator, CachedReporter: reporter,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Root{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports what is left and stops.
func (ro *Root) Close() error { return ro.closer.Close() }

// Reasons resolves one counter for each reason of a closed set.
func Reasons[R ~string](scope tally.Scope, name string, reasons []R) map[R]tally.Counter {
	counters := make(map[R]tally.Counter, len(reasons))
	for _, re := range reasons {
		counters[re] = scope.Tagged(map[string]string{"reason": string(re)}).Counter(name)
	}
	return counters
}
