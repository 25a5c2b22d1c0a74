package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"filbertstall.example/filbertstall/internal/fleet"
	"filbertstall.example/filbertstall/internal/process"
	"filbertstall.example/filbertstall/internal/scenario"
)

// smoke is the command that runs the failure scenarios, each on a deployment of
// its own.
type smoke struct {
	location
	Only []string `long:"only" value-name:"NAME" description:"Run only this scenario; repeat for more"`
	// KnownRed names a file whose lines "smoke SCENARIO: FAULT; ..." list known
	// faults. These are printed and do not fail the scenario.
	KnownRed string `long:"known-red" value-name:"FILE" description:"List of faults to print and pass over"`
	JSON     string `long:"json" value-name:"FILE" description:"Write the results to this file"`
}

// errScenarioFailed is returned if at least one scenario violated an invariant
// that is not a known fault.
var errScenarioFailed = errors.New("a scenario failed")

// Execute implements flags.Commander.
func (sm *smoke) Execute([]string) error {
	ctx, stop := process.UntilInterrupted()
	defer stop()
	dir, remove, err := sm.folder()
	if err != nil {
		return err
	}
	defer remove()
	return sm.runAll(ctx, dir, scenario.All())
}

// runAll runs the scenarios sequentially, prints and saves their results, and
// returns errScenarioFailed if any failed.
func (sm *smoke) runAll(ctx context.Context, dir string, list []scenario.Scenario) error {
	known, err := sm.readKnown()
	if err != nil {
		return err
	}
	var results []scenario.Result
	failed := 0
	for _, sc := range list {
		if len(sm.Only) > 0 && !slices.Contains(sm.Only, sc.Name) {
			continue
		}
		re := sc.Execute(ctx, fleet.Options{Bin: sm.Bin, Dir: dir})
		results = append(results, re)
		if !re.Pass() && !sm.allKnown(known, re) {
			failed++
		}
		sm.print(sc, re)
	}
	if err := sm.save(results); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(sm.out, "%d passed, %d failed\n", len(results)-failed, failed)
	if failed > 0 {
		return errScenarioFailed
	}
	return nil
}

// soak is the command that injects random faults into one deployment.
type soak struct {
	smoke
	Seed     uint64        `long:"seed" default:"1" description:"Seed of the faults"`
	Duration time.Duration `long:"duration" default:"10m" description:"How long faults come"`
}

// Execute implements flags.Commander.
func (so *soak) Execute([]string) error {
	ctx, stop := process.UntilInterrupted()
	defer stop()
	dir, remove, err := so.folder()
	if err != nil {
		return err
	}
	defer remove()
	return so.runAll(ctx, dir, []scenario.Scenario{scenario.Soak(so.Seed, so.Duration)})
}

// readKnown returns the lines of the list of known faults. It returns nil if no
// list is given or the file does not exist.
func (sm *smoke) readKnown() ([]string, error) {
	if sm.KnownRed == "" {
		return nil, nil
	}
	data, err := os.ReadFile(sm.KnownRed)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return strings.Split(string(data), "\n"), err
}

// allKnown reports whether every fault of a result is listed, and prints the
// listed faults up to the first that is not. The count at the start of a fault is
// not compared, as it varies between runs.
func (sm *smoke) allKnown(known []string, re scenario.Result) bool {
	for _, fault := range re.Faults {
		_, what, _ := strings.Cut(fault, " ")
		listed := func(line string) bool { return strings.HasPrefix(line, "smoke "+re.Name+": "+what+";") }
		if !slices.ContainsFunc(known, listed) {
			return false
		}
		_, _ = fmt.Fprintf(sm.out, "known red: %s: %s\n", re.Name, fault)
	}
	return true
}

func (sm *smoke) print(sc scenario.Scenario, re scenario.Result) {
	verdict := "pass"
	if !re.Pass() {
		verdict = "FAIL"
	}
	_, _ = fmt.Fprintf(sm.out, "%s %s: %s\n", verdict, sc.Name, sc.About)
	_, _ = fmt.Fprintf(sm.out, "  streams %d whole %d cut %d refused %d, token faults %d\n", re.Streams, re.Whole, re.Broken, re.Refused, re.TokenFaults)
	_, _ = fmt.Fprintf(sm.out, "  bookings %d answered %d not_run %d unknown %d, doubled %d, false not_run %d\n",
		re.Bookings, re.Answered, re.NotRun, re.Unknown, re.Doubled, re.FalseNotRun)
	_, _ = fmt.Fprintf(sm.out, "  lookups %d failed %d, late starts %d\n", re.Lookups, re.FailedLookups, re.LateStarts)
	for _, fault := range re.Faults {
		_, _ = fmt.Fprintf(sm.out, "  fault: %s\n", fault)
	}
	for ix, note := range re.Notes {
		if ix == maxNotes {
			_, _ = fmt.Fprintf(sm.out, "  note: and %d more\n", len(re.Notes)-maxNotes)
			break
		}
		_, _ = fmt.Fprintf(sm.out, "  note: %s\n", note)
	}
}

// maxNotes is the number of notes that are printed for one scenario.
const maxNotes = 5

func (sm *smoke) save(results []scenario.Result) error {
	if sm.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(sm.JSON, append(data, '\n'), 0o600)
}
