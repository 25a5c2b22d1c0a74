package generation

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/admission"
	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/filter"
	"filbertstall.example/filbertstall/internal/hangup"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/retry"
)

// tokenLifetime is how long a generation can be resumed after its token was
// issued.
const tokenLifetime = 2 * time.Hour

// The limits that the daemon sets. They are not applied to zero fields of a
// Handler.
const (
	// DefaultResumeGrace is the ResumeGrace that the daemon sets.
	DefaultResumeGrace = 2 * time.Second
	// DefaultSlowCallerLimit is the SlowCallerLimit that the daemon sets.
	DefaultSlowCallerLimit = 30 * time.Second
)

// Handler serves the requests that create and resume generations. Its fields must
// be set before the first request.
type Handler struct {
	Granter admission.Granter
	Client  *endpoint.Client
	Tokens  Tokens
	Clock   clockwork.Clock
	Log     zerolog.Logger
	// Retries is the retry budget for restarts at other engines. If nil, only
	// the limits of each single request apply.
	Retries *retry.Policy
	// Scope receives the metrics. If nil, no metrics are recorded.
	Scope tally.Scope
	// Hangups detects callers that hang up. If nil, a hang-up is noticed only
	// when a write to the caller fails.
	Hangups *hangup.Watcher
	// ResumeGrace is how long a generation keeps running after its caller hung
	// up, so that the caller can resume it.
	ResumeGrace time.Duration
	// SlowCallerLimit is how long, in total over one stream, writes to the
	// caller's socket may block before the stream is closed and its place at
	// the engine released. Zero means no limit.
	SlowCallerLimit time.Duration
	// FlushDelay is the least time between two batches of tokens sent to the
	// caller. Zero sends each token at once.
	FlushDelay time.Duration
	// Background runs work that no caller waits for. If nil, each piece of work
	// runs in a new goroutine.
	Background func(func())

	streams streams
}

func (ha *Handler) background(work func()) {
	if ha.Background != nil {
		ha.Background(work)
		return
	}
	go work()
}

// Create serves POST /v1/completions and /v1/chat/completions. With a
// Last-Event-ID header it resumes the generation of that event, at another engine
// if necessary.
func (ha *Handler) Create(ex *filter.Exchange) error {
	ha.initStreams()
	path := string(ex.HTTP.Path())
	co, err := decode(ex.Body, isChat(path))
	if err != nil {
		return err
	}
	sv, found := ex.Configuration.ModelService(co.Model, ex.Team)
	if !found {
		return refusal.New(refusal.UnknownModel, "no service offers model "+strconv.Quote(co.Model)+" to team "+ex.Team.Name)
	}
	re := admission.Request{
		ID: ex.ID, Service: sv.Name, Team: ex.Team.Name, Half: ex.Team.Half, Weight: ex.Team.Weight,
		PromptTokens: co.promptTokens(), MaxTokens: co.MaxTokens, Prefix: co.prefixHash(),
		Fingerprint: xxhash.Sum64(ex.Body), Deadline: ex.Deadline,
	}
	ge := endpoint.Generation{Path: path, Body: ex.Body}
	if lastEventID := string(ex.HTTP.Request.Header.Peek(lastEventIDHeader)); lastEventID != "" {
		return ha.resumeWithBody(ex, re, ge, lastEventID, co.Stream)
	}
	if ha.Retries != nil {
		ha.Retries.Arrived(sv.Name)
	}
	if ge.ID, err = newGenerationID(); err != nil {
		return err
	}
	ge.Seed = seedOf(ge.ID)
	se := ha.newSession(ex.Context, ex.Configuration, re, ge)
	se.request = requestHash(ge.Path, ge.Body)
	se.nonStreaming = !co.Stream
	if err := se.start(); err != nil {
		return err
	}
	return ha.answer(ex, se, nil, co.Stream)
}

// start starts the generation at an engine, with recovery. Its errors are
// refusals.
func (se *session) start() error {
	err := se.moveAndRecover(nil)
	if err == nil {
		return nil
	}
	if se.gr != nil {
		se.abandon(resultOf(err))
	}
	return se.refusal(err)
}

func newGenerationID() (string, error) {
	var raw [16]byte
	_, err := rand.Read(raw[:])
	return hex.EncodeToString(raw[:]), err
}

// lastEventIDHeader carries the ID of the last event that the caller received.
const lastEventIDHeader = "Last-Event-ID"

// Resume serves GET /v1/generations/{id}/events. It streams the generation from
// the token after the Last-Event-ID, or from the first one without that header.
// Without the request body, the generation cannot move to another engine.
func (ha *Handler) Resume(ex *filter.Exchange) error {
	ha.initStreams()
	token, _ := strings.CutSuffix(strings.TrimPrefix(string(ex.HTTP.Path()), "/v1/generations/"), "/events")
	to, err := ha.openToken(ex, token)
	if err != nil {
		return err
	}
	offset, err := resumeOffset(string(ex.HTTP.Request.Header.Peek(lastEventIDHeader)), token)
	if err != nil {
		return err
	}
	re := admission.Request{ID: ex.ID, Service: to.Service, Team: to.Team, Half: ex.Team.Half, Weight: ex.Team.Weight, Deadline: ex.Deadline}
	return ha.attachAndAnswer(ex, re, endpoint.Generation{ID: to.ID}, to, offset, true)
}

// resumeWithBody resumes the generation of lastEventID for a repeated request. The
// request must be equal to the one that created the generation.
func (ha *Handler) resumeWithBody(ex *filter.Exchange, re admission.Request, ge endpoint.Generation, lastEventID string, stream bool) error {
	token, _, _ := splitEventID(lastEventID)
	to, err := ha.openToken(ex, token)
	if err != nil {
		return err
	}
	offset, err := resumeOffset(lastEventID, token)
	if err != nil {
		return err
	}
	if to.Request != requestHash(ge.Path, ge.Body) || to.Service != re.Service {
		return refusal.New(refusal.BadRequest, "the body is not that of the generation in Last-Event-ID")
	}
	if !stream {
		return refusal.New(refusal.BadRequest, `a request with Last-Event-ID needs "stream": true`)
	}
	ge.ID, ge.Seed = to.ID, seedOf(to.ID)
	return ha.attachAndAnswer(ex, re, ge, to, offset, stream)
}

// attachAndAnswer connects to the generation of a token and responds with its
// events from offset on.
func (ha *Handler) attachAndAnswer(ex *filter.Exchange, re admission.Request, ge endpoint.Generation, to Token, offset int64, stream bool) error {
	se := ha.newSession(ex.Context, ex.Configuration, re, ge)
	se.offset = offset
	if err := se.attach(to); err != nil {
		if se.gr != nil {
			se.abandon(resultOf(err))
		}
		return attachRefusal(err)
	}
	return ha.answer(ex, se, &to, stream)
}

// openToken verifies a token and that it belongs to the caller's team.
func (ha *Handler) openToken(ex *filter.Exchange, text string) (Token, error) {
	to, err := ha.Tokens.Open(text, ha.Clock.Now())
	if err != nil || to.Team != ex.Team.Name {
		return to, refusal.New(refusal.UnknownGeneration, "the generation is not known, is over, or belongs to another team")
	}
	return to, nil
}

// resumeOffset returns the offset of the token after the last event that the
// caller received, or zero if lastEventID is empty.
func resumeOffset(lastEventID, token string) (int64, error) {
	if lastEventID == "" {
		return 0, nil
	}
	eventToken, offsetText, ok := splitEventID(lastEventID)
	offset, err := strconv.ParseInt(offsetText, 10, 64)
	if !ok || eventToken != token || err != nil || offset < 0 || offset >= maxTokens {
		return 0, refusal.New(refusal.BadRequest, "Last-Event-ID must be the id of an event of this generation")
	}
	return offset + 1, nil
}

// newToken returns a token for the engine that currently runs the generation.
func (se *session) newToken() Token {
	return Token{
		ID: se.ge.ID, Endpoint: se.gr.Endpoint.Name, Service: se.re.Service, Team: se.re.Team,
		Continuation: se.continuation, Request: se.request,
		Expires: se.ha.Clock.Now().Add(tokenLifetime).Unix(),
	}
}

// answer responds with the generation, as a stream or as one document. For a
// resumed generation, to is the token that the caller sent, which the response
// keeps using. For a new generation, to is nil.
func (ha *Handler) answer(ex *filter.Exchange, se *session, to *Token, stream bool) error {
	se.detach()
	re := &relay{se: se, line: make([]byte, 0, initialLineBytes)}
	initial := to
	if initial == nil {
		created := se.newToken()
		initial = &created
	}
	text, err := ha.Tokens.Sign(*initial)
	if err != nil {
		se.abandon(admission.Canceled)
		return err
	}
	re.token, re.tokenFinal = text, to != nil
	if !stream {
		return ha.document(ex, re)
	}
	if len(ex.HTTP.Request.Header.Peek("Request-Timeout")) > 0 {
		re.deadline = ex.Deadline
	}
	ex.HTTP.SetStatusCode(http.StatusOK)
	ex.HTTP.SetContentType("text/event-stream")
	ex.HTTP.Response.Header.Set("Cache-Control", "no-store")
	ex.HTTP.Response.Header.Set(endpoint.GenerationHeader, text)
	ex.HTTP.Response.ImmediateHeaderFlush = true
	re.unwatch = ha.Hangups.Watch(ex.HTTP.Conn(), func() { se.interrupt(errCallerGone) })
	se.freeBody = ex.TakeBody()
	ex.HTTP.SetBodyStream(re, -1)
	ha.trackStream(re)
	return nil
}
