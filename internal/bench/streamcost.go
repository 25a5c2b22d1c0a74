package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"filbertstall.example/filbertstall/internal/fleet"
	"filbertstall.example/filbertstall/pkg/client"
)

// streamCost is the command that measures the processor time, system calls and
// memory of one entry instance with open streams.
type streamCost struct {
	location
	Streams int           `long:"streams" default:"200" description:"Streams that are open"`
	Engines int           `long:"engines" default:"16" description:"Engines, each with 256 places"`
	Step    time.Duration `long:"step" default:"20ms" description:"Time between tokens"`
	Delay   time.Duration `long:"flush-delay" default:"0s" description:"Flush delay of the entry"`
	Measure time.Duration `long:"measure" default:"5s" description:"How long to measure"`
}

// streamCostResult holds the resource usage of the entry instance's process.
type streamCostResult struct {
	Streams         int     `json:"streams"`
	Tokens          int64   `json:"tokens"`
	CPUPerTokenUS   float64 `json:"processor_us_per_token"`
	UserPerTokenUS  float64 `json:"user_us_per_token"`
	ReadsPerToken   float64 `json:"reads_per_token"`
	WritesPerToken  float64 `json:"writes_per_token"`
	BytesPerStream  int64   `json:"resident_bytes_per_stream"`
	IdleResidentMiB float64 `json:"idle_resident_mib"`
}

// Execute implements flags.Commander.
func (sc *streamCost) Execute([]string) error {
	dir, remove, err := sc.folder()
	if err != nil {
		return err
	}
	defer remove()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fl, err := fleet.Start(ctx, fleet.Options{
		Bin: sc.Bin, Dir: dir, Engines: sc.Engines, Entries: 1, FlushDelay: sc.Delay,
		EngineArgs: []string{"--cold-sequences", "256", "--step-base", sc.Step.String(), "--step-per-sequence", "1us", "--memory-tokens", "100000000"},
	})
	if err != nil {
		return err
	}
	re, err := sc.run(ctx, fl)
	cancel()
	for _, pr := range fl.Processes {
		pr.Kill()
	}
	if err != nil {
		return err
	}
	return json.NewEncoder(sc.out).Encode(re)
}

// run opens all streams, waits until each has received a token, and measures
// for sc.Measure.
func (sc *streamCost) run(ctx context.Context, fl *fleet.Fleet) (streamCostResult, error) {
	re := streamCostResult{Streams: sc.Streams}
	pid := fl.Report.Entries[0].PID
	idle, err := readUsage(pid)
	if err != nil {
		return re, err
	}
	cl := &client.Client{Token: fleet.CallerToken, Entries: []string{fl.Report.Entries[0].Caller}}
	var wg sync.WaitGroup
	var tokens, open atomic.Int64
	for range sc.Streams {
		wg.Go(func() { readUntilCanceled(ctx, cl, &tokens, &open) })
		time.Sleep(time.Millisecond)
	}
	for open.Load() < int64(sc.Streams) {
		time.Sleep(openPoll)
	}
	before, err := readUsage(pid)
	if err != nil {
		return re, err
	}
	first := tokens.Load()
	time.Sleep(sc.Measure)
	after, err := readUsage(pid)
	re.Tokens = tokens.Load() - first
	count := float64(max(re.Tokens, 1))
	re.UserPerTokenUS = (after.user - before.user) * 1e6 / count
	re.CPUPerTokenUS = re.UserPerTokenUS + (after.system-before.system)*1e6/count
	re.ReadsPerToken = (after.reads - before.reads) / count
	re.WritesPerToken = (after.writes - before.writes) / count
	re.BytesPerStream = (after.resident - idle.resident) / int64(sc.Streams)
	re.IdleResidentMiB = float64(idle.resident) / (1 << 20)
	return re, err
}

const (
	// openPoll is the interval of checks whether all streams are open.
	openPoll = 50 * time.Millisecond
	// unboundedTokens is an answer length that no measurement reaches.
	unboundedTokens = 1000000
)

// readUntilCanceled reads one stream until ctx is canceled or the stream fails. It
// increments open at the first token and tokens at every token.
func readUntilCanceled(ctx context.Context, cl *client.Client, tokens, open *atomic.Int64) {
	body := fmt.Appendf(nil, `{"model":"filbert","prompt":"Explain chapter 7.","stream":true,"max_tokens":%d}`, unboundedTokens)
	st := cl.Generate(ctx, client.Generation{Path: "/v1/completions", Body: body})
	defer st.Close()
	for {
		if _, err := st.Next(); err != nil {
			return
		}
		if st.Offset() == 1 {
			open.Add(1)
		}
		tokens.Add(1)
	}
}

// processUsage holds the cumulative resource usage of a process.
type processUsage struct {
	user, system  float64 // seconds
	reads, writes float64 // system calls
	resident      int64   // bytes
}

// clockTicksPerSecond is the number of units of processor time in /proc/PID/stat
// per second.
const clockTicksPerSecond = 100

func readUsage(pid int) (processUsage, error) {
	var us processUsage
	folder := "/proc/" + strconv.Itoa(pid)
	stat, errStat := os.ReadFile(folder + "/stat")
	calls, errCalls := os.ReadFile(folder + "/io")
	memory, errMemory := os.ReadFile(folder + "/statm")
	if err := errors.Join(errStat, errCalls, errMemory); err != nil {
		return us, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	us.user, us.system = parseFloat(fields[11])/clockTicksPerSecond, parseFloat(fields[12])/clockTicksPerSecond
	for line := range strings.Lines(string(calls)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "syscr":
			us.reads = parseFloat(value)
		case "syscw":
			us.writes = parseFloat(value)
		}
	}
	us.resident = int64(parseFloat(strings.Fields(string(memory))[1])) * int64(os.Getpagesize())
	return us, nil
}

// parseFloat returns zero for text that is not a number.
func parseFloat(text string) float64 {
	value, _ := strconv.ParseFloat(text, 64)
	return value
}
