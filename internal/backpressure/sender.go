package backpressure

import (
	"context"
	"net/http"

	"filbertstall.example/filbertstall/internal/roster"
	"filbertstall.example/filbertstall/internal/upstream"
)

// Transport sends calls to endpoints. upstream.Pool implements it.
type Transport interface {
	Do(ctx context.Context, ca upstream.Call) (*upstream.Answer, error)
}

// Sender sends calls to endpoints and records what the answers say. Set the fields
// before use. It is safe for concurrent use.
type Sender struct {
	Transport Transport
	// Decode returns the signal in the header of an answer.
	Decode   func(*upstream.Answer) Signal
	Registry *Registry
}

// Do sends a call to an endpoint and reads the head of its answer. The caller must
// close the answer.
func (se *Sender) Do(ctx context.Context, en roster.Endpoint, ca upstream.Call) (*upstream.Answer, error) {
	an, err := se.Transport.Do(ctx, ca)
	if err != nil {
		return nil, err
	}
	// A misdirected call was answered by another endpoint, which now has the address.
	if an.Status != http.StatusMisdirectedRequest {
		se.Registry.Observe(en, se.Decode(an))
	}
	return an, nil
}
