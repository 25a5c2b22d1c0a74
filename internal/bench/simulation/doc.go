// Package simulation runs the allocator of internal/admission in virtual time
// against in-memory model engines and measures what callers would observe.
//
// There is no network. Calls between components take no time, but progress and
// load reports are delayed as in the real system. A run is deterministic for its
// seed.
//
// # Usage
//
//	ro, err := simulation.Run(simulation.Options{
//		Policy: simulation.Filbertstall, Seed: 1, Lengths: simulation.LogNormal, Load: 0.9,
//	})
package simulation
