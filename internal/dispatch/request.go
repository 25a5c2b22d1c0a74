package dispatch

import (
	"io"
	"time"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/upstream"
)

// Part is a section of a prompt. Several requests may have the same part.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the generation that a request asks for.
type Prompt struct {
	Tokens int
	// MaxOutput limits the number of generated tokens.
	MaxOutput int
	// OutputHint is the caller's estimate of the number of generated tokens. Zero
	// means that there is none.
	OutputHint int
	Parts      []Part
}

// sharedParts returns the IDs of the parts that other requests may have, too: all but
// the last, which belongs to the request itself.
func (pr Prompt) sharedParts() []string {
	var ids []string
	for ix := range len(pr.Parts) - 1 {
		ids = append(ids, pr.Parts[ix].ID)
	}
	return ids
}

// Request is a request of a caller, decoded by a platform's codec.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as received. Path is the path alone.
	Target string
	Path   string
	Host   string
	// Headers are the header fields to forward to endpoints, as received.
	Headers []upstream.Header
	Body    []byte
	HasBody bool
	// Key is the caller's API key. HasKey reports whether the request had one.
	Key    string
	HasKey bool
	// LastEvent is the ID of the event behind which the caller asks for the rest of a stream.
	// It is empty if the caller asks for the whole stream. Headers have it, too.
	LastEvent string
	// Credential is the received header value that contains the key.
	Credential string
	// CallerTimeout is how long the caller waits, counted from Arrived. Zero
	// means no limit.
	CallerTimeout time.Duration
	Arrived       time.Time
	Prompt        Prompt
	// Forwarded is set if another instance forwarded the request.
	Forwarded bool
}

// Resume identifies a copy of a run's KV cache from which an attempt continues
// the run.
type Resume struct {
	// Source is the address of the endpoint that made the copy. For a standby
	// copy, it is the address of the endpoint that keeps it.
	Source string
	// Handle is the ID of the copy.
	Handle string
	// LastEvent is the ID of the last event that the caller received, now or, as
	// Request.LastEvent says, before. It is empty if there is none. It takes the place of
	// the one in Request.Headers.
	LastEvent string
}

// Attempt holds the parameters of sending a request to one endpoint.
type Attempt struct {
	Endpoint roster.Endpoint
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Team is the caller's team. It is empty if the route needs no key.
	Team string
	// PassCredential reports whether the caller's credential is forwarded to
	// the endpoint.
	PassCredential bool
	// Resume is nil if the run starts from the beginning.
	Resume *Resume
	// Standby is the address of the engine that keeps a standby copy of the
	// run. It is empty if there is none.
	Standby string
	// MaxIdle is the longest time for which a reused connection may have been
	// idle. Zero requires a new connection.
	MaxIdle time.Duration
}

// Verdict is what the status and header of an answer prove.
type Verdict struct {
	// Genuine reports that the answer carries the endpoint's signature and has
	// the requested form.
	Genuine bool
	// NotRun reports that the endpoint did not run the request.
	NotRun bool
	// Misdirected reports that the address now belongs to another endpoint.
	Misdirected bool
}

// Codec translates between requests and the wire format of a platform.
type Codec interface {
	// Call encodes an attempt as a call to its endpoint.
	Call(re *Request, at Attempt) upstream.Call
	// Verdict evaluates the status and header of an answer.
	Verdict(an *upstream.Answer) Verdict
}

// Reply is the answer to a caller. Either Refusal is set, or Status and Headers
// together with either Body or Events. Body must be freed, and Events closed.
type Reply struct {
	// Refusal is set if the instance answers by itself instead of forwarding an
	// endpoint's answer.
	Refusal *refusal.Error
	Status  int
	Headers []upstream.Header
	Body    *buffer.Buffer
	// Events is the body of a stream. A read error other than io.EOF means that
	// the stream is incomplete. The caller must close Events.
	Events io.ReadCloser
}
