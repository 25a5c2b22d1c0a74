// Package metric creates the counters of the request path once, so that a request
// only increments them and does not look them up.
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

// Root holds the root scope of the metrics of a process and the handler that
// serves them.
type Root struct {
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler

	closer io.Closer
}

// NewRoot returns a root that reports through the Prometheus reporter of tally. Its
// metrics have the prefix filbertstall.
func NewRoot() *Root {
	// A separate registry keeps the metrics of two roots in one process apart.
	// The default registry would be shared.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "filbertstall", Separator: prometheus.DefaultSeparator, CachedReporter: reporter,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Root{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the remaining values and stops reporting.
func (ro *Root) Close() error { return ro.closer.Close() }

// Reasons returns a counter for each reason of a fixed set. The counters have the
// same name and differ in the label reason.
func Reasons[R ~string](scope tally.Scope, name string, reasons []R) map[R]tally.Counter {
	counters := make(map[R]tally.Counter, len(reasons))
	for _, re := range reasons {
		counters[re] = scope.Tagged(map[string]string{"reason": string(re)}).Counter(name)
	}
	return counters
}
