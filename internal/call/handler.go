// Package call forwards callers' HTTP requests to the endpoints of plain services.
//
// A call whose route is declared idempotent is retried. Any other call is sent
// once, and another endpoint is tried only if no connection was made. If such a
// call has an Idempotency-Key, package record extends this guarantee to resends
// of the call through any instance, and stores the response for them.
//
// # Usage
//
//	ha := &call.Handler{Granter: granter, Sender: client, Recorder: recorder, Clock: clock}
//	chain := filter.Chain(ha.Serve, filters...) // ANY /services/{service}/{path}
package call

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/filter"
	"filbertstall.example/filbertstall/internal/metric"
	"filbertstall.example/filbertstall/internal/record"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/retry"
	"filbertstall.example/filbertstall/internal/shutdown"
	"filbertstall.example/filbertstall/pkg/kind"
)

// maxTries is the maximum number of endpoints that are tried for a call that is
// not idempotent.
const maxTries = 3

// Sender sends a call to an endpoint. An error of kind endpoint.Unreachable
// guarantees that nothing was sent. After any other error the endpoint may have
// received the call.
type Sender interface {
	Call(url string, re endpoint.Request) (endpoint.Response, error)
}

// Handler serves calls of plain services. The fields must be set before the
// first request. It is safe for concurrent use.
type Handler struct {
	Granter admission.Granter
	Sender  Sender
	// Recorder records the calls that have an Idempotency-Key.
	Recorder *record.Recorder
	Clock    clockwork.Clock
	Log      zerolog.Logger
	// Scope receives the metrics. If it is nil, no metrics are reported.
	Scope tally.Scope
	// Retries is the retry policy of idempotent calls. If it is nil, the handler
	// creates its own policy.
	Retries *retry.Policy
	// Shutdown decides which calls are sent while the instance shuts down. If it is nil, all
	// are.
	Shutdown *shutdown.Schedule

	once      sync.Once
	events    map[event]tally.Counter
	latencies sync.Map // service name to *retry.Latency
}

// event is a value of the label reason of the counter call_events. Refusals are
// counted by package entry.
type event string

const (
	resendAnswered    event = "resend_answered"
	resendWaited      event = "resend_waited"
	resendLost        event = "resend_lost"
	withdrawn         event = "withdrawn"
	outcomeUnrecorded event = "outcome_unrecorded"
	retryUnreachable  event = "retry_unreachable"
)

func (ha *Handler) prepare() {
	ha.once.Do(func() {
		scope := ha.Scope
		if scope == nil {
			scope = tally.NoopScope
		}
		if ha.Retries == nil {
			ha.Retries = &retry.Policy{Scope: scope}
		}
		ha.events = metric.Reasons(scope, "call_events", []event{
			resendAnswered, resendWaited, resendLost, withdrawn, outcomeUnrecorded, retryUnreachable,
		})
	})
}

func (ha *Handler) count(ev event) { ha.events[ev].Inc(1) }

// Serve serves ANY /services/{service}/{path}.
func (ha *Handler) Serve(ex *filter.Exchange) error {
	ha.prepare()
	ta, err := parseTarget(ex.HTTP.URI())
	if err != nil {
		return err
	}
	se, found := ex.Configuration.Service(ta.service)
	if !found || se.Type != kind.ServicePlain || !kind.Reachable(se.Half, ex.Team.Half) {
		return refusal.New(refusal.UnknownService, "no plain service is named "+ta.service)
	}
	key, err := parseKey(&ex.HTTP.Request.Header)
	if err != nil {
		return err
	}
	oc := newOutgoingCall(ex, se, ta, key)
	an, err := ha.route(oc, ta)
	if err != nil {
		return err
	}
	writeResponse(&ex.HTTP.Response, an)
	return nil
}

// route serves the call with the delivery guarantee that applies to it.
func (ha *Handler) route(oc *outgoingCall, ta target) (endpoint.Response, error) {
	switch {
	case ta.idempotent(oc.service, oc.request.Method):
		return ha.serveIdempotent(oc)
	case oc.request.Key != "":
		return ha.serveKeyed(oc)
	default:
		return ha.serveUnkeyed(oc)
	}
}

// outgoingCall is a caller's request with the state that is kept while it is
// sent to endpoints.
type outgoingCall struct {
	ex      *filter.Exchange
	service kind.Service
	request endpoint.Request

	mu           sync.Mutex
	placeRequest admission.Request
	// acquireCount is the number of times that a place was requested.
	acquireCount int
}

// acquire requests a place at an endpoint that has not been excluded. It does not wait for
// one beyond the latest time at which the call can end before a shutdown does.
func (ha *Handler) acquire(ctx context.Context, oc *outgoingCall) (*admission.Grant, error) {
	oc.mu.Lock()
	oc.acquireCount++
	placeRequest := oc.placeRequest
	// Acquire deduplicates by ID, so each request for a place needs its own.
	placeRequest.ID += "-" + strconv.Itoa(oc.acquireCount)
	placeRequest.Exclude = slices.Clone(placeRequest.Exclude)
	oc.mu.Unlock()
	ctx, cancel := ha.Shutdown.WhileWaiting(ctx, oc.shutdownRequest)
	defer cancel()
	gr, err := ha.Granter.Acquire(ctx, placeRequest)
	if err != nil && shutdown.IsCause(context.Cause(ctx)) {
		return nil, stoppingRefusal()
	}
	return gr, err
}

// exclude prevents further attempts at the named endpoint.
func (oc *outgoingCall) exclude(name string) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	oc.placeRequest.Exclude = append(oc.placeRequest.Exclude, name)
}

func newOutgoingCall(ex *filter.Exchange, se kind.Service, ta target, key string) *outgoingCall {
	header := &ex.HTTP.Request.Header
	body := ex.Body
	return &outgoingCall{
		ex: ex, service: se,
		request: endpoint.Request{
			Method: string(ex.HTTP.Method()), Path: ta.path + ta.query, ContentType: string(header.ContentType()),
			Headers: endToEndRequestHeaders(header.All(), string(header.Peek("Connection"))), Key: key, Body: body,
		},
		placeRequest: admission.Request{
			ID: ex.ID, Service: se.Name, Team: ex.Team.Name, Half: ex.Team.Half, Weight: ex.Team.Weight,
			Fingerprint: fingerprint(header.Method(), ta, body), Deadline: ex.Deadline,
		},
	}
}

// fingerprint returns a hash that is equal for calls with equal content. It
// includes the target, so that calls without a body differ by their path.
func fingerprint(method []byte, ta target, body []byte) uint64 {
	di := xxhash.New()
	for _, part := range []string{string(method), ta.service, ta.path, ta.query} {
		_, _ = di.WriteString(part)
		_, _ = di.Write([]byte{0})
	}
	_, _ = di.Write(body)
	return di.Sum64()
}

// send sends the call to the granted endpoint once and releases the place.
func (ha *Handler) send(oc *outgoingCall, gr *admission.Grant) (endpoint.Response, error) {
	begun := ha.Clock.Now()
	re := oc.request
	re.Timeout = oc.ex.Deadline.Sub(begun)
	an, err := ha.callUntilCut(oc.ex.Context, gr.Endpoint.URL, re)
	ha.Granter.Release(gr, admission.Outcome{Result: resultOf(err), Elapsed: ha.Clock.Since(begun)})
	if err != nil {
		ha.Log.Warn().Err(err).Str("endpoint", gr.Endpoint.Name).Msg("call: attempt at endpoint failed")
		return endpoint.Response{}, err
	}
	an.Headers = endToEndResponseHeaders(an.Headers)
	return an, nil
}

// releaseUnused releases a place that no request was sent to.
func (ha *Handler) releaseUnused(gr *admission.Grant) {
	ha.Granter.Release(gr, admission.Outcome{Result: admission.Unused})
}

func resultOf(err error) admission.Result {
	switch {
	case err == nil:
		return admission.Completed
	case endpoint.IsKind(err, endpoint.Unreachable):
		return admission.NotBegun
	default:
		return admission.Lost
	}
}

// refusalFor returns the refusal for an error of send.
func refusalFor(err error) *refusal.Error {
	if er := stopped(err); er != nil {
		return er.WithDispatched()
	}
	if endpoint.IsKind(err, endpoint.Unreachable) {
		return refusal.Wrap(refusal.EndpointRefused, "no endpoint took the call", err)
	}
	return refusal.Wrap(refusal.EndpointLost, "the call was sent and its answer did not come", err)
}
