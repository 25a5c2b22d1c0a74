package bench

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/fleet"
	"filbertstall.example/filbertstall/internal/process"
	"filbertstall.example/filbertstall/pkg/client"
)

// cost is the command that measures the overhead of an entry instance compared
// with calling an engine directly.
type cost struct {
	location
	Rate     float64       `long:"rate" default:"40" description:"Arrivals per second on each of the two paths"`
	Duration time.Duration `long:"duration" default:"10s" description:"How long requests arrive"`
	Tokens   int           `long:"tokens" default:"100" description:"Length of each answer"`
	Open     int           `long:"open" default:"500" description:"Streams held open to measure their memory"`
	Seed     uint64        `long:"seed" default:"1" description:"Seed of the arrivals"`
}

// costResult compares the direct path with the path through the entry instance,
// measured side by side in one run.
type costResult struct {
	Requests       int     `json:"requests_per_path"`
	DirectP50MS    float64 `json:"direct_first_token_ms_p50"`
	DirectP99MS    float64 `json:"direct_first_token_ms_p99"`
	EntryP50MS     float64 `json:"entry_first_token_ms_p50"`
	EntryP99MS     float64 `json:"entry_first_token_ms_p99"`
	AddedP50MS     float64 `json:"added_first_token_ms_p50"`
	AddedP99MS     float64 `json:"added_first_token_ms_p99"`
	CPUMicros      float64 `json:"entry_cpu_us_per_token"`
	StreamBytes    float64 `json:"entry_bytes_per_open_stream"`
	IdleCPUPercent float64 `json:"entry_idle_cpu_percent"`
	RSSBytes       int64   `json:"entry_rss_bytes"`
}

const (
	// idlePeriod is the interval over which the processor time of an idle entry
	// instance is measured.
	idlePeriod = 5 * time.Second
	// warmupRequests is the number of requests sent on each path before the
	// measurement, to warm up engines and connections.
	warmupRequests = 80
	// coldSequences lets cold engines run 256 sequences at once, so that the run
	// measures the cost of the relay and not the wait for engines to warm up.
	coldSequences = 256
	// clockTickDuration is the unit of processor time in /proc/PID/stat.
	clockTickDuration = 10 * time.Millisecond
)

// Execute implements flags.Commander.
func (co *cost) Execute([]string) error {
	ctx, stop := process.UntilInterrupted()
	defer stop()
	dir, remove, err := co.folder()
	if err != nil {
		return err
	}
	defer remove()
	fl, err := fleet.Start(ctx, fleet.Options{
		Bin: co.Bin, Dir: dir, Entries: 1, Engines: 2, ColdSequences: coldSequences,
		EngineArgs: []string{"--step-base", "2ms", "--step-per-sequence", "20us", "--warm-tokens", "1", "--cold-sequences", strconv.Itoa(coldSequences)},
	})
	if err != nil {
		return err
	}
	re, err := co.measure(ctx, fl)
	if stopErr := fl.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return err
	}
	return json.NewEncoder(co.out).Encode(re)
}

// measure warms up both paths, then measures idle processor time, latency under
// load and memory per open stream, in this order.
func (co *cost) measure(ctx context.Context, fl *fleet.Fleet) (costResult, error) {
	var re costResult
	entry := fl.Report.Entries[0]
	paths := co.paths(fl)
	for range warmupRequests {
		for _, path := range paths {
			if _, err := path.firstToken(ctx); err != nil {
				return re, fmt.Errorf("%s: %w", path.name, err)
			}
		}
	}
	idle, err := cpuDuring(entry.PID, func() { time.Sleep(idlePeriod) })
	if err != nil {
		return re, err
	}
	re.IdleCPUPercent = 100 * idle.Seconds() / idlePeriod.Seconds()
	used, err := cpuDuring(entry.PID, func() { co.load(ctx, paths) })
	if err != nil {
		return re, err
	}
	direct, relayed := paths[0], paths[1]
	if direct.failed+relayed.failed > 0 {
		return re, fmt.Errorf("%d direct and %d relayed requests failed: %w", direct.failed, relayed.failed, cmp.Or(direct.firstErr, relayed.firstErr))
	}
	re.Requests = int(relayed.latencies.hi.TotalCount())
	re.DirectP50MS, re.DirectP99MS = milliseconds(direct.latencies, 0.5), milliseconds(direct.latencies, 0.99)
	re.EntryP50MS, re.EntryP99MS = milliseconds(relayed.latencies, 0.5), milliseconds(relayed.latencies, 0.99)
	re.AddedP50MS, re.AddedP99MS = re.EntryP50MS-re.DirectP50MS, re.EntryP99MS-re.DirectP99MS
	re.CPUMicros = float64(used.Microseconds()) / float64(re.Requests*co.Tokens)
	re.StreamBytes, re.RSSBytes, err = co.memory(ctx, entry)
	return re, err
}

// path is one of the two ways to reach an engine, with its measurements.
type path struct {
	name string
	// firstToken runs a request to completion and returns the time to its first
	// token.
	firstToken func(ctx context.Context) (time.Duration, error)

	mu        sync.Mutex
	latencies latency
	failed    int
	// firstErr is the error of the first failed request, nil if none failed.
	firstErr error
}

func (pa *path) run(ctx context.Context) {
	du, err := pa.firstToken(ctx)
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if err != nil {
		pa.failed++
		pa.firstErr = cmp.Or(pa.firstErr, err)
		return
	}
	pa.latencies.record(du)
}

// paths returns the direct path, which alternates between the two engines, and
// the path through the entry instance, in this order.
func (co *cost) paths(fl *fleet.Fleet) []*path {
	body := fmt.Sprintf(`{"model":"filbert","prompt":"Explain chapter 7.","stream":true,"max_tokens":%d}`, co.Tokens)
	dc := &endpoint.Client{IdleTimeout: time.Minute}
	cl := &client.Client{
		Entries: []string{fl.Report.Entries[0].Caller}, Token: fleet.CallerToken,
		HTTP: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: 1024}},
	}
	var requests int
	var mu sync.Mutex
	direct := func(context.Context) (time.Duration, error) {
		mu.Lock()
		requests++
		url := fl.Report.Endpoints[requests%2].URL
		mu.Unlock()
		return directFirstToken(dc, url, body)
	}
	relayed := func(ctx context.Context) (time.Duration, error) { return relayedFirstToken(ctx, cl, body) }
	return []*path{{name: "direct", firstToken: direct, latencies: newLatency()}, {name: "entry", firstToken: relayed, latencies: newLatency()}}
}

func directFirstToken(dc *endpoint.Client, url, body string) (time.Duration, error) {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	begun := time.Now()
	st, err := dc.Generate(url, endpoint.Generation{ID: hex.EncodeToString(raw[:]), Path: "/v1/completions", Body: []byte(body)})
	if err != nil {
		return 0, err
	}
	defer st.Close()
	var first time.Duration
	for {
		var ev endpoint.Event
		if err := st.Next(&ev); err != nil {
			return 0, err
		}
		if first == 0 {
			first = time.Since(begun)
		}
		if ev.Done {
			return first, nil
		}
	}
}

func relayedFirstToken(ctx context.Context, cl *client.Client, body string) (time.Duration, error) {
	begun := time.Now()
	st := cl.Generate(ctx, client.Generation{Path: "/v1/completions", Body: []byte(body)})
	defer st.Close()
	if _, err := st.Next(); err != nil {
		return 0, err
	}
	first := time.Since(begun)
	for {
		if _, err := st.Next(); err != nil {
			return first, ignoreEOF(err)
		}
	}
}

// load sends one request on each path at every arrival of an open-loop Poisson
// process with co.Rate arrivals per second, and waits for the answers.
func (co *cost) load(ctx context.Context, paths []*path) {
	rn := mathrand.New(mathrand.NewPCG(co.Seed, 0))
	var wg sync.WaitGroup
	at := time.Now()
	for end := at.Add(co.Duration); at.Before(end); {
		time.Sleep(time.Until(at))
		for _, pa := range paths {
			wg.Go(func() { pa.run(ctx) })
		}
		at = at.Add(time.Duration(rn.ExpFloat64() / co.Rate * float64(time.Second)))
	}
	wg.Wait()
}

// memory opens co.Open streams and returns the growth of the entry instance's
// resident memory per stream, and its resident memory with the streams open.
// Both are in bytes.
func (co *cost) memory(ctx context.Context, entry fleet.Entry) (perStream float64, resident int64, err error) {
	before, err := residentBytes(entry.PID)
	if err != nil {
		return 0, 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cl := &client.Client{Entries: []string{entry.Caller}, Token: fleet.CallerToken}
	var open sync.WaitGroup
	for range co.Open {
		open.Go(func() {
			st := cl.Generate(ctx, client.Generation{Path: "/v1/completions", Body: []byte(`{"model":"filbert","prompt":"Hold.","stream":true,"max_tokens":20000}`)})
			_, err = st.Next()
			context.AfterFunc(ctx, st.Close)
		})
	}
	open.Wait()
	during, err := residentBytes(entry.PID)
	return float64(during-before) / float64(co.Open), during, err
}

// cpuDuring returns the processor time that the process uses while work runs.
func cpuDuring(pid int, work func()) (time.Duration, error) {
	before, err := cpuTime(pid)
	if err != nil {
		return 0, err
	}
	work()
	after, err := cpuTime(pid)
	return after - before, err
}

// cpuTime returns the total user and system processor time of a process.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const userField, systemField = 11, 12
	user, err := strconv.Atoi(fields[userField])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * clockTickDuration, err
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
