package scenario

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"filbertstall.example/filbertstall/internal/fleet"
)

const (
	// faultDuration is the duration of faults that end by themselves.
	faultDuration = 3 * time.Second
	// minFaultInterval and maxFaultInterval bound the time between two faults.
	minFaultInterval = 2 * time.Second
	maxFaultInterval = 8 * time.Second
)

// faultKind is a kind of fault that Soak injects.
type faultKind struct {
	name   string
	inject func(so *soak) error
}

// faultKinds lists the faults, which are drawn with equal probability. The names
// appear in the notes of the result.
var faultKinds = []faultKind{
	{"an engine goes silent", func(so *soak) error { return so.setFault(so.randomEngineURL(), "silent") }},
	{"an engine is slow", func(so *soak) error { return so.setFault(so.randomEngineURL(), "slow") }},
	{"an engine turns cold", func(so *soak) error { return so.setFault(so.randomEngineURL(), "cold") }},
	{"the platform is down", func(so *soak) error { return so.setFault(so.st.fl.Report.Platform.URL, "down") }},
	{"the platform loses answers", func(so *soak) error { return so.setFault(so.st.fl.Report.Platform.URL, "lose_answer") }},
	{"the desk loses answers", func(so *soak) error { return so.setFault(so.st.endpoint("rental-desk-1").URL, "lose_answer") }},
	{"an entry instance is paused", (*soak).pauseEntry},
	{"an entry instance dies and another starts", (*soak).replaceEntry},
}

// soak draws faults from a seed and injects them.
type soak struct {
	st *state
	rn *rand.Rand
	// entries has the running entry instances.
	entries []fleet.Entry
	// started counts all entry instances that were started so far. It numbers the
	// names of new ones.
	started int
}

// Soak returns a scenario that injects random faults for about du. Faults may
// overlap. The seed determines their order, but their timing relative to the
// traffic depends on the machine.
func Soak(seed uint64, du time.Duration) Scenario {
	return Scenario{
		Name:  "soak",
		About: fmt.Sprintf("Random faults of seed %d for %v.", seed, du),
		run: func(st *state) error {
			so := &soak{st: st, rn: rand.New(rand.NewPCG(seed, 0)), entries: st.fl.Report.Entries, started: len(st.fl.Report.Entries)}
			for until := time.Now().Add(du); time.Now().Before(until); {
				st.wait(minFaultInterval + time.Duration(so.rn.Int64N(int64(maxFaultInterval-minFaultInterval))))
				fk := faultKinds[so.rn.IntN(len(faultKinds))]
				st.tr.update(func(re *Result) { re.Notes = append(re.Notes, fk.name) })
				if err := fk.inject(so); err != nil {
					return fmt.Errorf("%s: %w", fk.name, err)
				}
			}
			st.wait(faultDuration + recoveryTime)
			return nil
		},
	}
}

func (so *soak) setFault(url, mode string) error {
	return fleet.SetFault(so.st.ctx, url, mode, faultDuration.String())
}

func (so *soak) randomEngineURL() string {
	return so.st.endpoint("engine-" + strconv.Itoa(1+so.rn.IntN(fleet.DefaultEngines))).URL
}

// pauseEntry pauses a random entry instance with SIGSTOP for faultDuration.
func (so *soak) pauseEntry() error {
	pr := so.st.fl.Processes[so.entries[so.rn.IntN(len(so.entries))].Name]
	if err := pr.Pause(); err != nil {
		return err
	}
	so.st.wait(faultDuration)
	return pr.Continue()
}

// replaceEntry kills a random entry instance and starts a new one in its zone.
func (so *soak) replaceEntry() error {
	ix := so.rn.IntN(len(so.entries))
	old := so.entries[ix]
	so.st.fl.Kill(old.Name)
	if err := so.st.fl.ForgetEntry(so.st.ctx, old.Name); err != nil {
		return err
	}
	so.started++
	if err := so.st.fl.StartEntry(so.st.ctx, "entry-"+strconv.Itoa(so.started), old.Zone); err != nil {
		return err
	}
	all := so.st.fl.Report.Entries
	so.entries = append(append([]fleet.Entry{}, so.entries[:ix]...), so.entries[ix+1:]...)
	so.entries = append(so.entries, all[len(all)-1])
	so.st.tr.removeEntry(old.Caller)
	so.st.tr.addEntry(all[len(all)-1].Caller)
	return nil
}
