package bench

import (
	"encoding/json"
	"io"

	"filbertstall.example/filbertstall/internal/bench/simulation"
)

// capacity is the command that searches for the arrival rate defined as load 1.0.
type capacity struct {
	out     io.Writer
	Lengths []string `long:"lengths" description:"lognormal, pareto or bimodal; repeat for more" default:"lognormal"`
}

// capacityRow is the result for one length distribution.
type capacityRow struct {
	Lengths string `json:"lengths"`
	// Arrivals is in requests per second.
	Arrivals float64 `json:"arrivals_per_second"`
}

// Execute implements flags.Commander.
func (ca *capacity) Execute([]string) error {
	encoder := json.NewEncoder(ca.out)
	for _, le := range ca.Lengths {
		rate, err := simulation.SearchCapacity(simulation.Lengths(le))
		if err != nil {
			return err
		}
		if err := encoder.Encode(capacityRow{Lengths: le, Arrivals: rate}); err != nil {
			return err
		}
	}
	return nil
}
