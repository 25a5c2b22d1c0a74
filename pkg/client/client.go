// Package client is the Go client of filbertstall. It streams generations and
// resumes an interrupted stream at any of the entry instances. It also calls
// plain services and retries a call only if this is safe.
//
// # Usage
//
//	cl := &client.Client{Entries: []string{"http://10.0.0.1:8080", "http://10.0.0.2:8080"}, Token: token}
//	st := cl.Generate(ctx, client.Generation{Path: "/v1/completions", Body: body}) // "stream": true
//	defer st.Close()
//	for {
//		ev, err := st.Next()
//		if errors.Is(err, io.EOF) { break } // the generation is complete
//		if err != nil { return err }        // a *client.Error
//		use(ev.Data)
//	}
//
// Next returns each token exactly once and in order, or an error. The Outcome of
// an Error says whether the request was executed: not_run, unknown or failed.
package client

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	defaultIdleTimeout  = 30 * time.Second
	defaultStartTimeout = 5 * time.Minute
	defaultMaxAttempts  = 8
	// minBackoff and maxBackoff bound the back-off before a retry if the server
	// sent no Retry-After.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Client sends requests to a deployment. Set the fields before the first call.
// It is safe for concurrent use.
type Client struct {
	// Entries are the base addresses of entry instances, used in round-robin
	// order. There must be at least one.
	Entries []string
	// Token is the team's bearer token.
	Token string
	// IdleTimeout is how long a stream may receive nothing. Zero means 30 s. It
	// must be longer than an entry instance needs to recover a stream itself.
	IdleTimeout time.Duration
	// StartTimeout is how long an attempt of a generation may wait for the first
	// byte, including the time in the queue. Zero means 5 minutes.
	StartTimeout time.Duration
	// MaxAttempts is the maximum number of consecutive attempts without progress.
	// Zero means 8.
	MaxAttempts int
	// Clock is used for back-off and timeouts. Nil means the real clock.
	Clock clockwork.Clock
	// HTTP sends the requests. Nil means a client that opens a new connection for
	// each request, because an idle connection may die unnoticed, and that takes no answer
	// whose head or end is malformed.
	HTTP *http.Client

	once sync.Once
	next atomic.Uint32
}

func (cl *Client) prepare() {
	cl.once.Do(func() {
		if cl.IdleTimeout == 0 {
			cl.IdleTimeout = defaultIdleTimeout
		}
		if cl.StartTimeout == 0 {
			cl.StartTimeout = defaultStartTimeout
		}
		if cl.MaxAttempts == 0 {
			cl.MaxAttempts = defaultMaxAttempts
		}
		if cl.Clock == nil {
			cl.Clock = clockwork.NewRealClock()
		}
		if cl.HTTP == nil {
			cl.HTTP = &http.Client{Transport: &http.Transport{DialContext: dialPlain, DialTLSContext: dialTLS, DisableKeepAlives: true}}
		}
	})
}

// nextEntry returns the next entry instance in round-robin order.
func (cl *Client) nextEntry() string {
	return cl.Entries[int(cl.next.Add(1)-1)%len(cl.Entries)]
}

// waitBeforeRetry waits for retryAfter, or, if that is zero, for an exponential
// back-off. Half of the back-off is random jitter, so that callers do not retry
// at the same time. The error is that of ctx.
func (cl *Client) waitBeforeRetry(ctx context.Context, attempt int, retryAfter time.Duration) error {
	if retryAfter == 0 {
		full := min(minBackoff<<min(attempt, 10), maxBackoff)
		retryAfter = full/2 + rand.N(full/2)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-cl.Clock.After(retryAfter):
		return nil
	}
}
