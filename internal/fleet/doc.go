// Package fleet starts a complete deployment as processes on the local machine, for
// demonstrations, experiments and tests. It is part of the load tool. The system
// itself starts no processes.
//
// # Usage
//
//	fl, err := fleet.Start(ctx, fleet.Options{Bin: "bin", Dir: dir})
//	defer fl.Stop()
//	fmt.Println(fl.Report.Entries[0].Caller)
package fleet
