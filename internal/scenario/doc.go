// Package scenario injects failures into a deployment of local processes under
// traffic, and compares what callers observed with what endpoints executed.
//
// # Usage
//
//	for _, sc := range scenario.All() {
//		re := sc.Execute(ctx, fleet.Options{Bin: "bin", Dir: dir})
//		fmt.Println(re.Name, re.Pass(), re)
//	}
//
// A scenario passes if every count that has to be zero is zero. Latencies do not
// influence the result. The only time limit that is checked is the one after which
// no new work may start in a zone that was taken out of service.
package scenario
