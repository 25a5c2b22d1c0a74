package command

import (
	"errors"
	"net/http"
	"net/url"
	"os"
	"time"

	"filbertstall.example/filbertstall/internal/control"
	"filbertstall.example/filbertstall/internal/plan"
)

// progressInterval is the interval at which confirm polls the progress of a plan.
const progressInterval = 300 * time.Millisecond

// makePlan is the command plan, which creates a plan from an intent file.
type makePlan struct {
	operatorAccess
	Args struct {
		Intent string `positional-arg-name:"INTENT" description:"The intent file"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (mp *makePlan) Execute([]string) error {
	data, err := os.ReadFile(mp.Args.Intent)
	if err != nil {
		return commandError{err}
	}
	var an control.PlanAnswer
	if err := mp.call(http.MethodPost, "/plans?file="+url.QueryEscape(mp.Args.Intent), data, &an); err != nil {
		return err
	}
	if mp.Output == "json" {
		return mp.printJSON(an.Plan)
	}
	mp.printPlan(an.Plan)
	return nil
}

// planArgs holds the argument of commands that act on one plan.
type planArgs struct {
	Plan string `positional-arg-name:"PLAN" description:"The plan's ID"`
}

// confirm is the command that confirms a plan and waits until it is done.
type confirm struct {
	operatorAccess
	Wait time.Duration `long:"wait" default:"60s" description:"How long to wait until the plan is done"`
	Args planArgs      `positional-args:"true" required:"true"`
}

// notDoneError means that a confirmed plan was not done within the time to wait. Its
// text includes the progress of the plan.
type notDoneError struct{ pl plan.Plan }

// Error implements error.
func (nd notDoneError) Error() string {
	ix := nd.pl.Current()
	if ix >= len(nd.pl.Steps) {
		return "confirmed; being finished"
	}
	st := nd.pl.Steps[ix]
	return "confirmed; goes on without this command: " + st.Title + ": " + st.Note
}

// Execute implements flags.Commander.
func (cf *confirm) Execute([]string) error {
	var an control.PlanAnswer
	err := cf.call(http.MethodPost, "/plans/confirm?id="+url.QueryEscape(cf.Args.Plan), nil, &an)
	var co conflictError
	if errors.As(err, &co) {
		return cf.refused(co)
	}
	if err != nil {
		return err
	}
	pl, err := cf.waitForPlan(an.Plan)
	if cf.Output == "json" {
		return errors.Join(cf.printJSON(pl), err)
	}
	if err == nil {
		cf.printf("%s: %s\n", pl.ID, pl.State)
	}
	return err
}

func (cf *confirm) refused(co conflictError) error {
	if cf.Output == "json" {
		return errors.Join(cf.printJSON(co.PlanAnswer), co)
	}
	cf.printChanges("Changed since the plan was made:", co.Plan.ChangesSinceBase)
	return co
}

// waitForPlan polls a plan until it has ended or the time to wait has passed, and
// prints its progress. It returns the last state of the plan.
func (cf *confirm) waitForPlan(pl plan.Plan) (plan.Plan, error) {
	until := time.Now().Add(cf.Wait)
	shown := ""
	for !pl.State.Terminal() {
		if line := progress(pl); line != shown && cf.Output != "json" {
			cf.printf("%s\n", line)
			shown = line
		}
		if time.Now().After(until) {
			return pl, notDoneError{pl}
		}
		time.Sleep(progressInterval)
		var an control.PlanAnswer
		if err := cf.call(http.MethodGet, "/plans?id="+url.QueryEscape(pl.ID), nil, &an); err != nil {
			return pl, err
		}
		pl = an.Plan
	}
	if pl.State != plan.Done {
		return pl, commandError{errors.New(string(pl.State) + ": " + pl.Note)}
	}
	return pl, nil
}

// cancel is the command that cancels a plan.
type cancel struct {
	operatorAccess
	Args planArgs `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (ca *cancel) Execute([]string) error {
	var an control.PlanAnswer
	if err := ca.call(http.MethodPost, "/plans/cancel?id="+url.QueryEscape(ca.Args.Plan), nil, &an); err != nil {
		return err
	}
	if ca.Output == "json" {
		return ca.printJSON(an.Plan)
	}
	ca.printf("%s: %s: %s\n", an.Plan.ID, an.Plan.State, an.Plan.Note)
	return nil
}
