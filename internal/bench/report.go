package bench

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"

	"filbertstall.example/filbertstall/internal/report"
	"filbertstall.example/filbertstall/internal/scenario"
)

const (
	// The targets that charts show as limits. preemptionTarget is per 1,000
	// requests.
	gapTargetMS        = 41
	firstTokenTargetS  = 0.84
	preemptionTarget   = 2
	stallTargetSeconds = 0.5
	shortWaitTargetMS  = 200

	reportFilePermission = 0o600
)

// makeReport is the command that renders results as one HTML page.
type makeReport struct {
	out    io.Writer
	Smoke  string `long:"smoke" value-name:"FILE" description:"Results of smoke --json"`
	Policy string `long:"policy" value-name:"FILE" description:"Rows of make bench, one JSON object a line"`
	Output string `long:"output" default:"report.html" value-name:"FILE" description:"The page to write"`
}

// Execute implements flags.Commander.
func (mr *makeReport) Execute([]string) error {
	pa := report.Page{Title: "filbertstall: measured", Summary: "Runs of processes over stand-ins, and virtual-time runs of the decision code."}
	if mr.Policy != "" {
		if err := addPolicy(&pa, mr.Policy); err != nil {
			return err
		}
	}
	if mr.Smoke != "" {
		if err := addSmoke(&pa, mr.Smoke); err != nil {
			return err
		}
	}
	var page bytes.Buffer
	if err := pa.Write(&page); err != nil {
		return err
	}
	if err := os.WriteFile(mr.Output, page.Bytes(), reportFilePermission); err != nil {
		return err
	}
	_, err := fmt.Fprintln(mr.out, "written:", mr.Output)
	return err
}

// policyRow holds the fields of a row of make bench that the page shows.
type policyRow struct {
	Policy      string  `json:"policy"`
	Lengths     string  `json:"lengths"`
	Load        float64 `json:"load"`
	Seed        uint64  `json:"seed"`
	Fault       string  `json:"fault"`
	Stall       float64 `json:"stall_seconds_p99"`
	Preemptions float64 `json:"preemptions_per_1000"`
	FirstToken  float64 `json:"first_token_seconds_p95"`
	GapP95      float64 `json:"inter_token_ms_p95"`
	GapP99      float64 `json:"inter_token_ms_p99"`
	ShortWait   float64 `json:"short_wait_ms_p99"`
	Goodput     float64 `json:"goodput_tokens_per_second"`
	Refused     float64 `json:"refused_share"`
}

// policyChart describes the chart of one field of the rows. A limit of zero
// means that no target is shown.
type policyChart struct {
	title, unit, note string
	log10             bool
	limit             float64
	value             func(ro policyRow) float64
}

var policyCharts = []policyChart{
	{"Stall time, p99", "s", "The longest time without a token inside an answer.", true, stallTargetSeconds, func(ro policyRow) float64 { return ro.Stall }},
	{"Preemptions per 1,000 requests", "preemptions", "Generations that an engine took out of its batch.", true, preemptionTarget, func(ro policyRow) float64 { return ro.Preemptions }},
	{"Time between tokens, p99", "ms", "The target of 41 ms is for 95 in 100.", false, gapTargetMS, func(ro policyRow) float64 { return ro.GapP99 }},
	{"First token, p95", "s", "From arrival, time in the queue included.", true, firstTokenTargetS, func(ro policyRow) float64 { return ro.FirstToken }},
	{"Wait of short calls, p99", "ms", "Time in the queue.", true, shortWaitTargetMS, func(ro policyRow) float64 { return ro.ShortWait }},
	{"Goodput", "tokens/s", "Tokens of whole answers inside their deadline.", false, 0, func(ro policyRow) float64 { return ro.Goodput }},
}

func addPolicy(pa *report.Page, path string) error {
	rows, err := readRows(path)
	if err != nil {
		return err
	}
	for _, pc := range policyCharts {
		pa.Charts = append(pa.Charts, pc.chart(rows))
	}
	return nil
}

// readRows returns the policy rows without injected faults. Lines that are not
// JSON, such as the output of Go benchmarks, are skipped.
func readRows(path string) ([]policyRow, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var rows []policyRow
	sc := bufio.NewScanner(bytes.NewReader(data))
	for sc.Scan() {
		var ro policyRow
		if json.Unmarshal(sc.Bytes(), &ro) == nil && ro.Policy != "" && ro.Fault == "" {
			rows = append(rows, ro)
		}
	}
	return rows, sc.Err()
}

// chart groups the rows by length distribution and load, with one bar for each
// policy. Each bar is the mean over the seeds.
func (pc policyChart) chart(rows []policyRow) report.Chart {
	ch := report.Chart{Title: pc.title, Unit: pc.unit, Note: pc.note, Log10: pc.log10, Limit: pc.limit}
	groups, policies := make(map[string]int), make(map[string]int)
	for _, ro := range rows {
		if _, known := groups[ro.group()]; !known {
			groups[ro.group()] = len(ch.Labels)
			ch.Labels = append(ch.Labels, ro.group())
		}
		if _, known := policies[ro.Policy]; !known {
			policies[ro.Policy] = len(ch.Series)
			ch.Series = append(ch.Series, report.Series{Name: ro.Policy})
		}
	}
	counts := make([][]float64, len(ch.Series))
	for ix := range ch.Series {
		ch.Series[ix].Values = make([]float64, len(ch.Labels))
		counts[ix] = make([]float64, len(ch.Labels))
	}
	for _, ro := range rows {
		policy, group := policies[ro.Policy], groups[ro.group()]
		values := ch.Series[policy].Values
		counts[policy][group]++
		values[group] += (pc.value(ro) - values[group]) / counts[policy][group]
	}
	return ch
}

func (ro policyRow) group() string {
	return ro.Lengths + " " + strconv.FormatFloat(ro.Load, 'f', -1, 64)
}

func addSmoke(pa *report.Page, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var results []scenario.Result
	if err := json.Unmarshal(data, &results); err != nil {
		return err
	}
	pa.Tables = append(pa.Tables, smokeTable(results))
	for _, re := range results {
		if re.Name == "zone" {
			pa.Charts = append(pa.Charts, timeline(re)...)
		}
	}
	return nil
}

func smokeTable(results []scenario.Result) report.Table {
	ta := report.Table{
		Title:  "Runs of processes under failure",
		Head:   []string{"scenario", "streams", "whole", "cut", "token faults", "bookings", "doubled", "false not_run", "late starts", "lookups", "lookup p99 ms", "token gap p99 ms"},
		Failed: make(map[int]bool),
	}
	for ix, re := range results {
		ta.Failed[ix] = !re.Pass()
		cells := []string{re.Name}
		for _, count := range []int{re.Streams, re.Whole, re.Broken, re.TokenFaults, re.Bookings, re.Doubled, re.FalseNotRun, re.LateStarts, re.Lookups} {
			cells = append(cells, strconv.Itoa(count))
		}
		ta.Rows = append(ta.Rows, append(cells, fmt.Sprintf("%.1f", re.LookupTimes.P99), fmt.Sprintf("%.1f", re.Gaps.P99)))
	}
	return ta
}

// timeline returns charts of throughput and latency for each second of the zone
// scenario.
func timeline(re scenario.Result) []report.Chart {
	answered := report.Series{Name: "lookups answered"}
	tokens := report.Series{Name: "tokens / 10"}
	gap := report.Series{Name: "longest gap between tokens"}
	lookup := report.Series{Name: "longest lookup"}
	var labels []string
	for second, in := range re.Timeline {
		labels = append(labels, strconv.Itoa(second)+" s")
		answered.Values = append(answered.Values, float64(in.Lookups-in.Failed))
		tokens.Values = append(tokens.Values, float64(in.Tokens)/10)
		gap.Values = append(gap.Values, in.LongestGap)
		lookup.Values = append(lookup.Values, in.LongestLookup)
	}
	return []report.Chart{
		{Title: "Service while a zone leaves and returns", Unit: "per second", Labels: labels, Lines: true, Series: []report.Series{answered, tokens}, Note: "The zone is taken out at 2 s and brought back about 6 s later."},
		{Title: "Latency while a zone leaves and returns", Unit: "ms", Labels: labels, Lines: true, Series: []report.Series{gap, lookup}, Note: "The longest of each second."},
	}
}
