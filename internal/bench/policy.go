package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"filbertstall.example/filbertstall/internal/bench/simulation"
)

// policy is the command that simulates the admission code in virtual time and
// prints one JSON row for each combination of length distribution, load, seed
// and policy.
type policy struct {
	out      io.Writer
	Policies []string      `long:"policy" description:"round_robin, least_in_flight, filbertstall or oracle; repeat for more, all if none is given"`
	Seeds    []uint64      `long:"seed" description:"Seed of the arrivals; repeat for more" default:"1"`
	Lengths  []string      `long:"lengths" description:"lognormal, pareto or bimodal; repeat for more" default:"lognormal"`
	Loads    []float64     `long:"load" description:"Arrival rate as a share of the capacity; repeat for more" default:"0.9"`
	Duration time.Duration `long:"duration" description:"Virtual time" default:"10m"`
	Faults   bool          `long:"faults" description:"With a cold endpoint, a dying one and a crashing request"`
	Trace    bool          `long:"trace" description:"Print the state of the engines every ten seconds"`
}

// Execute implements flags.Commander.
func (po *policy) Execute([]string) error {
	encoder := json.NewEncoder(po.out)
	for _, op := range po.cases() {
		ro, err := simulation.Run(op)
		if err != nil {
			return err
		}
		if err := encoder.Encode(ro); err != nil {
			return err
		}
	}
	return nil
}

// cases returns the options of the runs in the order in which rows are printed.
func (po *policy) cases() []simulation.Options {
	policies := simulation.AllPolicies()
	if len(po.Policies) > 0 {
		policies = nil
		for _, name := range po.Policies {
			policies = append(policies, simulation.Policy(name))
		}
	}
	var list []simulation.Options
	for _, le := range po.Lengths {
		for _, load := range po.Loads {
			for _, seed := range po.Seeds {
				for _, name := range policies {
					list = append(list, simulation.Options{
						Policy: name, Seed: seed, Lengths: simulation.Lengths(le), Load: load, Duration: po.Duration,
						Faults: simulation.Faults{Cold: po.Faults, Dying: po.Faults, Crashing: po.Faults}, Trace: po.trace(),
					})
				}
			}
		}
	}
	return list
}

// trace returns the function that prints engine states, nil without --trace.
func (po *policy) trace() func(string) {
	if !po.Trace {
		return nil
	}
	return func(text string) { _, _ = fmt.Fprintln(po.out, text) }
}
