package scenario

import (
	"strconv"
	"time"

	"filbertstall.example/filbertstall/internal/fleet"
)

const (
	// outageDuration is how long the platform is down.
	outageDuration = 20 * time.Second
	// rollInterval is the time between the start of a new instance and the stop
	// of the instance that it replaces.
	rollInterval = 1500 * time.Millisecond
)

var platformScenario = Scenario{
	Name:  "platform",
	About: "The platform is down for 20 s with traffic on.",
	run: func(st *state) error {
		st.wait(settleTime)
		if err := fleet.SetFault(st.ctx, st.fl.Report.Platform.URL, "down", outageDuration.String()); err != nil {
			return err
		}
		st.wait(outageDuration + recoveryTime)
		return nil
	},
	check: func(re *Result) { re.requireZero("idempotent calls without an answer", re.FailedLookups) },
}

var rollScenario = Scenario{
	Name:  "roll",
	About: "Every entry instance is replaced by a new one in turn.",
	run:   runRoll,
}

// runRoll replaces entry instances one by one. It starts each new instance before
// it stops the old one.
func runRoll(st *state) error {
	old := st.fl.Report.Entries
	for ix, en := range old {
		if err := st.fl.StartEntry(st.ctx, "entry-"+strconv.Itoa(len(old)+ix+1), en.Zone); err != nil {
			return err
		}
		st.wait(rollInterval)
		st.tr.addEntry(st.fl.Report.Entries[len(st.fl.Report.Entries)-1].Caller)
		st.tr.removeEntry(en.Caller)
		if err := st.fl.StopEntry(st.ctx, en.Name); err != nil {
			st.re.BadExits++
			st.re.Notes = append(st.re.Notes, err.Error())
		}
		if err := st.fl.ForgetEntry(st.ctx, en.Name); err != nil {
			return err
		}
	}
	return nil
}
