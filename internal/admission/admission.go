// Package admission decides which endpoint runs a request, and when.
//
// A request waits in Acquire until an endpoint has capacity for it. The Grant
// that it gets reserves a slot at that endpoint until Release. Nothing is sent
// to an endpoint without a grant.
//
// # Usage
//
//	gr, err := granter.Acquire(ctx, admission.Request{ID: id, Service: "filbert-pool"})
//	if err != nil { return err } // a *refusal.Error, the request was not run
//	gr.Tokens.Store(n)           // as tokens arrive
//	granter.Release(gr, admission.Outcome{Result: admission.Completed, Tokens: n})
package admission

import (
	"context"
	"sync/atomic"
	"time"

	"filbertstall.example/filbertstall/pkg/kind"
)

// Request asks for a slot at an endpoint of a service.
type Request struct {
	// ID is unique per request. A caller that lost the answer to Acquire
	// retries the call with the same ID.
	ID      string
	Service string
	Team    string
	// Half is the half of the deployment that the caller belongs to. Only
	// endpoints that this half can reach are used.
	Half string
	// Weight is the share of the team in the fair queue, relative to other
	// teams.
	Weight int
	// Class groups prompts whose answers have similar lengths. If it is empty,
	// prompts of similar length and token limit form a class.
	Class string
	// PromptTokens is an estimate of the length of the prompt.
	PromptTokens int
	// MaxTokens is the limit on the answer length that the caller set, or zero
	// if it set none.
	MaxTokens int64
	// DoneTokens is the number of tokens that already exist when a generation
	// is resumed at another endpoint. It is zero for a new request.
	DoneTokens int64
	// Prefix is the hash of the prefix of the prompt, or zero if the prompt is
	// too short to have one.
	Prefix uint64
	// Fingerprint is equal for requests with equal content.
	Fingerprint uint64
	// Deadline is the time at which the caller stops waiting. It is zero if
	// the caller set none.
	Deadline time.Time
	// Exclude names endpoints that must not run this request.
	Exclude []string
	// Only names the endpoint that already runs the generation. It is empty
	// otherwise. A request with Only set gets a slot there at once, even if
	// the endpoint is full.
	Only string
}

// Grant is a reserved slot at an endpoint.
type Grant struct {
	Request  Request
	Endpoint kind.Endpoint
	// Priority is passed on to the engine; higher values go first.
	Priority int
	// Tokens is the number of tokens of the answer so far. The holder of the
	// grant stores it, and the granter reads it.
	Tokens *atomic.Int64
}

// Result tells how the use of a grant ended.
type Result string

// Results of a granted request.
const (
	// Completed means that the endpoint sent the complete answer.
	Completed Result = "whole"
	// Canceled means that the caller canceled the request.
	Canceled Result = "canceled"
	// NotBegun means that the endpoint did not accept the request.
	NotBegun Result = "not_begun"
	// Unused means that nothing was sent. It says nothing about the endpoint.
	Unused Result = "unused"
	// Lost means that the connection broke or the endpoint stopped before the
	// answer was complete.
	Lost Result = "lost"
	// Failed means that the endpoint answered with an error.
	Failed Result = "failed"
)

// Sent reports whether the endpoint may have started the request.
func (re Result) Sent() bool { return re != NotBegun && re != Unused }

// Outcome tells the granter how a grant was used.
type Outcome struct {
	Result Result
	// Tokens is the length of the answer.
	Tokens int64
	// Elapsed is the time from the grant to the end of the request.
	Elapsed time.Duration
}

// Granter hands out slots at endpoints.
type Granter interface {
	// Acquire waits for a slot until ctx ends or the request is refused. The
	// error is a *refusal.Error whose outcome is not_run.
	Acquire(ctx context.Context, re Request) (*Grant, error)
	// Release frees the slot. Each grant must be released exactly once.
	Release(gr *Grant, ou Outcome)
}
