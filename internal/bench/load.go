package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/scenario"
	"filbertstall.example/filbertstall/pkg/client"
)

// load is the command that generates an open-loop load of streamed generations
// on entry instances. Arrivals are a Poisson process.
type load struct {
	out      io.Writer
	Target   []string      `long:"target" required:"true" value-name:"URL" description:"Caller address of an entry instance; repeat for more"`
	Token    string        `long:"token" default:"demo-caller" description:"Bearer token"`
	Rate     float64       `long:"rate" default:"10" description:"Arrivals per second"`
	Duration time.Duration `long:"duration" default:"10s" description:"How long requests arrive"`
	Tokens   int           `long:"tokens" default:"100" description:"Length of each answer"`
	Seed     uint64        `long:"seed" default:"1" description:"Seed of the arrivals"`
}

// loadResult is the JSON result of the load command, as callers observed it.
type loadResult struct {
	Sent       int     `json:"sent"`
	Whole      int     `json:"whole"`
	Broken     int     `json:"broken"`
	Refused    int     `json:"refused"`
	FirstP50MS float64 `json:"first_token_ms_p50"`
	FirstP99MS float64 `json:"first_token_ms_p99"`
	GapP95MS   float64 `json:"inter_token_ms_p95"`
	GapP99MS   float64 `json:"inter_token_ms_p99"`
}

// observer collects the measurements of concurrent callers.
type observer struct {
	mu     sync.Mutex
	first  latency
	gap    latency
	result loadResult
}

// Execute implements flags.Commander.
func (lo *load) Execute([]string) error {
	cl := &client.Client{Entries: lo.Target, Token: lo.Token}
	ob := &observer{first: newLatency(), gap: newLatency()}
	rn := rand.New(rand.NewPCG(lo.Seed, 0))
	var wg sync.WaitGroup
	at := time.Now()
	end := at.Add(lo.Duration)
	for at.Before(end) {
		time.Sleep(time.Until(at))
		ob.count(&ob.result.Sent)
		wg.Go(func() { lo.stream(cl, ob) })
		at = at.Add(time.Duration(rn.ExpFloat64() / lo.Rate * float64(time.Second)))
	}
	wg.Wait()
	re := ob.result
	re.FirstP50MS, re.FirstP99MS = milliseconds(ob.first, 0.5), milliseconds(ob.first, 0.99)
	re.GapP95MS, re.GapP99MS = milliseconds(ob.gap, 0.95), milliseconds(ob.gap, 0.99)
	return json.NewEncoder(lo.out).Encode(re)
}

func milliseconds(la latency, qu float64) float64 {
	return float64(la.quantile(qu).Microseconds()) / 1000
}

// stream reads one generation to its end and records its outcome and latencies.
func (lo *load) stream(cl *client.Client, ob *observer) {
	body := fmt.Sprintf(`{"model":"filbert","prompt":"Explain chapter 7.","stream":true,"max_tokens":%d}`, lo.Tokens)
	st := cl.Generate(context.Background(), client.Generation{Path: "/v1/completions", Body: []byte(body)})
	defer st.Close()
	var tc scenario.TokenCheck
	last := time.Now()
	for {
		ev, err := st.Next()
		if err != nil {
			ob.recordEnd(tc.Tokens == lo.Tokens, err)
			return
		}
		now := time.Now()
		ob.recordToken(tc.Tokens == 0, now.Sub(last))
		last = now
		if err := tc.Check(ev.Data); err != nil {
			ob.recordEnd(false, err)
			return
		}
	}
}

// recordEnd counts the outcome of a stream: complete, refused or broken.
func (ob *observer) recordEnd(complete bool, err error) {
	var er *client.Error
	switch {
	case complete && errors.Is(err, io.EOF):
		ob.count(&ob.result.Whole)
	case errors.As(err, &er) && er.Outcome == client.NotRun:
		ob.count(&ob.result.Refused)
	default:
		ob.count(&ob.result.Broken)
	}
}

func (ob *observer) count(which *int) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	*which++
}

func (ob *observer) recordToken(first bool, after time.Duration) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	if first {
		ob.first.record(after)
		return
	}
	ob.gap.record(after)
}

// ignoreEOF returns nil for io.EOF, which ends a complete answer.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
