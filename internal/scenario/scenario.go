package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"filbertstall.example/filbertstall/internal/command"
	"filbertstall.example/filbertstall/internal/fleet"
)

// Scenario is a failure, or an action of an operator, under traffic.
type Scenario struct {
	Name string
	// About describes the scenario in one line.
	About string

	run func(st *state) error
	// check verifies invariants of this scenario after the traffic has ended. It
	// may be nil.
	check func(re *Result)
}

// state is the state of a running scenario: the deployment, its traffic, the
// result, and a folder for files of the scenario.
type state struct {
	ctx context.Context
	fl  *fleet.Fleet
	tr  *traffic
	re  *Result
	dir string
}

// All returns the scenarios of the smoke command in execution order. Soak is not
// included.
func All() []Scenario {
	return []Scenario{
		zoneScenario, engineScenario, entryScenario, bookingScenario, answerScenario, rollScenario, platformScenario,
	}
}

// Execute starts a deployment, runs the scenario under traffic, checks the
// invariants and stops the deployment. An error is recorded as a fault.
func (sc Scenario) Execute(ctx context.Context, op fleet.Options) Result {
	re := Result{Name: sc.Name}
	begun := time.Now()
	if err := sc.execute(ctx, op, &re); err != nil {
		re.Faults = append(re.Faults, "not run to the end: "+err.Error())
	}
	re.checkInvariants()
	re.Elapsed = time.Since(begun)
	return re
}

func (sc Scenario) execute(ctx context.Context, op fleet.Options, re *Result) error {
	op.Dir = filepath.Join(op.Dir, sc.Name)
	if err := os.MkdirAll(op.Dir, 0o750); err != nil {
		return err
	}
	fl, err := fleet.Start(ctx, op)
	if err != nil {
		return err
	}
	st := &state{ctx: ctx, fl: fl, tr: newTraffic(fl, re), re: re, dir: op.Dir}
	st.tr.run(ctx)
	err = sc.run(st)
	st.tr.stopAndSummarize()
	if err == nil {
		err = compareBookings(ctx, fl, st.tr)
	}
	if sc.check != nil {
		sc.check(re)
	}
	if stopErr := fl.Stop(); stopErr != nil {
		re.BadExits++
		re.Notes = append(re.Notes, stopErr.Error())
	}
	return err
}

// wait lets the traffic continue for du.
func (st *state) wait(du time.Duration) { time.Sleep(du) }

// endpoint returns the endpoint with the given name, or a zero Endpoint.
func (st *state) endpoint(name string) fleet.Endpoint {
	for _, en := range st.fl.Report.Endpoints {
		if en.Name == name {
			return en
		}
	}
	return fleet.Endpoint{}
}

// runOperator runs a command of the operator command line against an entry
// instance and returns its JSON output.
func (st *state) runOperator(entry fleet.Entry, args ...string) ([]byte, error) {
	var out, errOut bytes.Buffer
	args = append(args, "--operator", entry.Operator, "--token", fleet.OperatorToken, "--output", "json")
	if code := command.Run(args, &out, &errOut); code != command.ExitDone {
		return out.Bytes(), fmt.Errorf("filbertstall %v: exit %d: %s", args[0], code, errOut.String())
	}
	return out.Bytes(), nil
}

// applyIntent writes the intent in text to the file name.hujson, plans it and
// confirms the plan.
func (st *state) applyIntent(name, text string) error {
	path := filepath.Join(st.dir, name+".hujson")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	entry := st.fl.Report.Entries[0]
	out, err := st.runOperator(entry, "plan", path)
	if err != nil {
		return err
	}
	var made struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(out, &made); err != nil {
		return err
	}
	_, err = st.runOperator(entry, "confirm", made.ID)
	return err
}
