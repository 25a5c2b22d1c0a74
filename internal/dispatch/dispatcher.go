package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"filbertstall.example/filbertstall/internal/backpressure"
	"filbertstall.example/filbertstall/internal/budget"
	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/routing"
	"filbertstall.example/filbertstall/internal/shutdown"
	"filbertstall.example/filbertstall/internal/suspicion"
)

// Dispatcher answers requests. Set the exported fields before the first
// request. It is safe for concurrent use.
type Dispatcher struct {
	State   *routing.State
	Roster  *roster.Roster
	Tracker *placement.LoadTracker
	Budget  *budget.Window
	Gate    *backpressure.Gate
	Codec   Codec
	Clock   clockwork.Clock
	Log     zerolog.Logger
	// MaxAges returns the limits on how old the store's confirmation of the
	// configuration may be.
	MaxAges func() MaxAges
	// Informed reports whether this instance knows what others know. Until then it refuses
	// all requests. If it is nil, it need not ask.
	Informed func() bool
	// Runs registers streams whose runs can be migrated. If nil, no run is
	// migrated.
	Runs Runs
	// Suspects tracks what requests under which endpoints crash have in common. If it is nil, no request
	// is suspected. Reachable reports whether an endpoint accepts connections.
	// If it is nil, crashes and stalled streams are not detected.
	Suspects Suspects
	// Turns paces requests with a suspected feature. If it is nil, they are not paced.
	Turns     Turns
	Reachable func(ctx context.Context, address string) bool
	// Progress returns the number of events that an engine says it has made of a
	// run, or migration.ErrNoRun if it has none. If it is nil, streams whose connection
	// went silent are not detected.
	Progress func(ctx context.Context, en roster.Endpoint, run string) (int, error)
	// Paths tracks the links to endpoints, and Forwarder lets other instances serve
	// requests if there are none. If they are nil, all requests are served here.
	Paths     Paths
	Forwarder Forwarder
	// Rollouts decides which versions requests may use. If it is nil, all are used.
	Rollouts Rollouts
	// Reserver chooses engines for all instances of the zone. If it is nil, each
	// instance chooses by the loads that it knows.
	Reserver Reserver
	// Memory limits the answers and events that are in memory. If it is nil, there is no
	// common limit.
	Memory *buffer.Budget
	// Shutdown decides which requests are served while the instance shuts down. If it is
	// nil, all are.
	Shutdown *shutdown.Schedule
	// RequireKeys reports whether callers have keys by the rules of the deployment, also while
	// the configuration has no list of teams. No key is valid then. If it is nil, they don't.
	RequireKeys func() bool
	// Alone reports whether no other instance of the zone is known to take requests. If it
	// is nil, there is one.
	Alone func() bool
	// Meter records metrics. If nil, none are recorded.
	Meter *Meter

	outputEstimator outputEstimator
	// lengths has how long the answers of each route took.
	lengths shutdown.Lengths
	// crashProbes merges the probes of an endpoint that has lost several requests.
	crashProbes singleflight.Group
}

// MaxAges limits the staleness of the configuration that a decision may rest
// on, counted from the time at which the store last confirmed it.
type MaxAges struct {
	// Key is the limit for accepting a caller's key as still valid.
	Key time.Duration
	// Deny is the limit for permanently refusing a request because its route or
	// key does not exist. Beyond it, the refusal is temporary, since a newer
	// configuration may have the route or key.
	Deny time.Duration
}

// task is a request in progress.
type task struct {
	*Request
	route   routing.Route
	service routing.Service
	team    string
	// priority is the rank of the request; 0 is the most urgent.
	priority int
	// passCredential is set if callers need no keys. Endpoints then check credentials
	// themselves.
	passCredential bool
	deadline       time.Time
	// sentAt is when the last attempt was sent, answer its answer in progress, and judged
	// what was known then of an answer before the end of a shutdown.
	sentAt time.Time
	answer *shutdown.Answer
	judged judgement
	// ran is the number of attempts that an endpoint may have run.
	ran int
	// arrivals is the number of attempts that may have reached an endpoint,
	// including those that were rejected without running.
	arrivals int
	// unsent counts attempts that were not sent because of what changed while they waited.
	unsent int
	tried  map[string]bool
	// forwards has the instances that the task was forwarded to. pathDoubtful is set if
	// it is better forwarded than sent to another endpoint.
	forwards     map[string]bool
	pathDoubtful bool
	// noTrial is set once the task must not go to a version on trial.
	noTrial bool
	// fingerprint identifies the request across resubmissions by the caller. It
	// is zero if Dispatcher.Suspects is nil. See computeFingerprint.
	fingerprint uint64
	// partFeatures are the features of the shared parts for partVersion. See parts.
	partFeatures []suspicion.Feature
	partVersion  string
	// turn is the suspected feature whose turn the next attempt has, or zero. turnVersion is
	// the version of the endpoint at which the last one lacked a turn.
	turn        suspicion.Feature
	turnVersion string
}

// Serve answers one request. Canceling ctx abandons the request. The caller
// must close Reply.Events if it is not nil.
func (di *Dispatcher) Serve(ctx context.Context, re *Request) Reply {
	rp := di.serve(ctx, re)
	di.Meter.countReply(rp, di.Clock.Since(re.Arrived))
	return rp
}

func (di *Dispatcher) serve(ctx context.Context, re *Request) Reply {
	ta, err := di.admit(re)
	if err != nil {
		return di.refuse(re, err)
	}
	if er := di.refuseIfTooLate(ta); er != nil {
		return di.refuse(re, er)
	}
	if !re.Forwarded {
		// A forwarded request counts at the instance that got it from the caller.
		di.Budget.Arrived(ta.service.Name)
	}
	rp := di.answer(ctx, ta)
	di.endAnswer(ta, rp)
	return rp
}

// answer answers a task with a stream or a buffered answer.
func (di *Dispatcher) answer(ctx context.Context, ta *task) Reply {
	if ta.streams() {
		return di.serveStream(ctx, ta)
	}
	return di.serveBuffered(ctx, ta)
}

// admit checks the route, body size, key and service of a request against the
// configuration.
func (di *Dispatcher) admit(re *Request) (*task, *refusal.Error) {
	cf := di.State.Load()
	age, proven := di.State.Age()
	if cf == nil || !proven {
		return nil, refusal.New(refusal.NoConfiguration, "no configuration is known yet").WithRetryAfter(startRetryAfter)
	}
	if di.Informed != nil && !di.Informed() {
		return nil, refusal.New(refusal.NoConfiguration, "this instance has just started and asks others for what they know").WithRetryAfter(startRetryAfter)
	}
	route, found := cf.Match(re.Host, re.Path)
	if !found {
		return nil, di.deny(age, refusal.New(refusal.NotFound, "no route for "+re.Host+re.Path))
	}
	if bound, limited := cf.Limits().Body(); limited && len(re.Body) > bound {
		return nil, refusal.New(refusal.TooLarge, "the body is over "+strconv.Itoa(bound)+" bytes")
	}
	ta := &task{Request: re, route: route, priority: route.Priority, passCredential: !cf.HasTeams() && !di.requiresKeys()}
	if er := di.admitTeam(ta, cf, age); er != nil {
		return nil, er
	}
	ta.service, found = cf.Service(route.ServiceOf(re.ID))
	if !found {
		return nil, refusal.New(refusal.NoCapacity, "the route's service is not configured")
	}
	if di.Suspects != nil {
		ta.fingerprint = ta.computeFingerprint()
	}
	ta.deadline = re.Arrived.Add(requestTimeout(route.Timeout, re.CallerTimeout))
	return ta, nil
}

// admitTeam finds the team of a request by its key, if the route needs one. The configuration
// has the given age.
func (di *Dispatcher) admitTeam(ta *task, cf *routing.Configuration, age time.Duration) *refusal.Error {
	if !cf.NeedsKey(ta.route) && (ta.route.Public || !di.requiresKeys()) {
		return nil
	}
	team, known := cf.Team(ta.Key)
	switch {
	case !ta.HasKey || !known:
		return di.deny(age, refusal.New(refusal.Unauthenticated, "the key is not known"))
	case age > di.MaxAges().Key:
		return di.staleRefusal(age, "keys")
	}
	ta.team = team.Name
	if team.HasPriority {
		ta.priority = team.Priority
	}
	return nil
}

func (di *Dispatcher) requiresKeys() bool { return di.RequireKeys != nil && di.RequireKeys() }

// Values of Retry-After for refused callers.
const (
	startRetryAfter = 300 * time.Millisecond
	staleRetryAfter = 500 * time.Millisecond
	busyRetryAfter  = 250 * time.Millisecond
)

// deny returns er if the configuration is fresh enough for a permanent refusal,
// and otherwise a temporary refusal, since a newer configuration may allow the
// request.
func (di *Dispatcher) deny(age time.Duration, er *refusal.Error) *refusal.Error {
	if age <= di.MaxAges().Deny {
		return er
	}
	return di.staleRefusal(age, "routes")
}

func (di *Dispatcher) staleRefusal(age time.Duration, subject string) *refusal.Error {
	detail := "the store has not confirmed " + subject + " for " + age.Truncate(time.Millisecond).String()
	return refusal.New(refusal.StaleConfiguration, detail).WithRetryAfter(staleRetryAfter)
}

// maxRequestTime limits the time of every request, including those for which
// neither the route nor the caller sets a timeout.
const maxRequestTime = 10 * time.Minute

func requestTimeout(timeout, callerTimeout time.Duration) time.Duration {
	bound := maxRequestTime
	if timeout > 0 {
		bound = min(bound, timeout)
	}
	if callerTimeout > 0 {
		bound = min(bound, callerTimeout)
	}
	return bound
}

func (di *Dispatcher) refuse(re *Request, er *refusal.Error) Reply {
	version := int64(0)
	if cf := di.State.Load(); cf != nil {
		version = cf.Version
	}
	age, _ := di.State.Age()
	di.Log.Info().Str("event", "refused").Str("request", re.ID).Str("reason", string(er.Reason)).
		Str("outcome", string(er.Rule().Outcome)).Str("endpoint", er.Endpoint).Int64("version", version).Dur("proof_age", age).
		Dur("took", di.Clock.Since(re.Arrived)).Str("detail", er.Detail).AnErr("cause", er.Err).Msg("dispatch: request refused")
	return Reply{Refusal: er}
}

// demand describes the load that a task puts on an endpoint.
func (di *Dispatcher) demand(ta *task) placement.Demand {
	return placement.Demand{
		Engine: ta.service.Engine, Prompt: ta.Prompt.Tokens, Output: di.outputEstimator.estimate(ta.route.Name, ta.Prompt),
		Service: ta.service.Name, Request: ta.ID,
	}
}

// logPlacement logs the choice of an engine for a generation. Requests to
// services without engines are too numerous to log one by one, so only their
// failed attempts are logged.
func (di *Dispatcher) logPlacement(ta *task, ch placement.Choice, ready int) {
	if ta.service.Engine == nil {
		return
	}
	di.Log.Info().Str("event", "placed").Str("request", ta.ID).Str("endpoint", ch.Endpoint.ID).Str("zone", ch.Endpoint.Zone).Str("endpoint_version", ch.Endpoint.Version).
		Float64("cost_ms", ch.Cost).Int("running", ch.Load.Running).Int("reading", ch.Load.PrefillTokens).Int("held", ch.Load.ReservedTokens).
		Int("ready", ready).Str("route", ta.route.Name).Int("prompt", ta.Prompt.Tokens).Int("max_output", ta.Prompt.MaxOutput).Int("hint", ta.Prompt.OutputHint).Msg("dispatch: engine chosen")
}

func (ta *task) markTried(en roster.Endpoint) {
	if ta.tried == nil {
		ta.tried = make(map[string]bool)
	}
	ta.tried[en.ID] = true
}

func (ta *task) remaining(now time.Time) time.Duration { return ta.deadline.Sub(now) }
