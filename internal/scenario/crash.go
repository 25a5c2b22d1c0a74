package scenario

import "time"

const (
	// settleTime is how long traffic runs before a failure.
	settleTime = 2 * time.Second
	// recoveryTime is how long traffic runs after a failure.
	recoveryTime = 4 * time.Second
)

var engineScenario = Scenario{
	Name:  "engine",
	About: "An engine dies in the middle of streams.",
	run: func(st *state) error {
		st.wait(settleTime)
		st.fl.Kill("engine-2")
		st.wait(recoveryTime)
		return nil
	},
}

var entryScenario = Scenario{
	Name:  "entry",
	About: "An entry instance dies in the middle of streams; callers resume at others.",
	run: func(st *state) error {
		st.wait(settleTime)
		st.fl.Kill("entry-2")
		if err := st.fl.ForgetEntry(st.ctx, "entry-2"); err != nil {
			return err
		}
		st.wait(recoveryTime)
		return nil
	},
}
