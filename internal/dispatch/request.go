package dispatch

import (
	"io"
	"time"

	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/upstream"
)

// Part is one part of a prompt; requests share parts.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request says of the generation that it asks for.
type Prompt struct {
	Tokens int
	// MaxOutput bounds the tokens that are generated.
	MaxOutput int
	// Hint is the caller's guess at that number; zero means none.
	Hint  int
	Parts []Part
}

// Request is one request of a caller.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as they came; Path is the path alone.
	Target string
	Path   string
	Host   string
	// Headers are those that endpoints get, as they came.
	Headers []upstream.Header
	Body    []byte
	HasBody bool
	// Key is the caller's; HasKey tells whether one was sent.
	Key    string
	HasKey bool
	// Credential is what the key came in, as it came.
	Credential string
	// Budget is how long the caller waits, from Arrived; zero means without end.
	Budget  time.Duration
	Arrived time.Time
	Prompt  Prompt
}

// Resume says how an attempt goes on with a run from memory that was copied.
type Resume struct {
	// Source is the address of the endpoint that made the copy.
	Source string
	// Handle names the copy.
	Handle string
	// LastEvent is the id of the last event that the caller got, or empty.
	LastEvent string
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Endpoint roster.Endpoint
	// Left is how long the endpoint may work.
	Left time.Duration
	// Team is empty where the route needs no key.
	Team string
	// PassCredential tells that the endpoint gets the caller's credential.
	PassCredential bool
	// Resume is nil for a run from the start.
	Resume *Resume
	// Standby is the address of the engine that keeps a copy of the run; empty
	// means none.
	Standby string
	// MaxIdle is how long the connection may have been idle.
	MaxIdle time.Duration
}

// Verdict is what an endpoint's answer proves.
type Verdict struct {
	// Genuine answers bear the endpoint's proof and are in the form that was
	// asked for.
	Genuine bool
	// NotRun means that the endpoint did not run the request.
	NotRun bool
	// Misdirected means that another endpoint has the address now.
	Misdirected bool
}

// Codec speaks a platform's form of requests.
type Codec interface {
	// Call makes the call of an attempt.
	Call(re *Request, at Attempt) upstream.Call
	// Verdict judges an answer by its status and header.
	Verdict(an *upstream.Answer) Verdict
}

// Reply is what a caller gets. One of Refusal, Body and Events is of use.
type Reply struct {
	// Refusal is the instance's own answer.
	Refusal *refusal.Error
	Status  int
	Headers []upstream.Header
	Body    []byte
	// Events is a stream's body; an error other than io.EOF means that the
	// stream ends before its end. It must be closed.
	Events io.ReadCloser
}
