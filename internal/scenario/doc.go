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
// A scenario passes if it runs to its end and every count that has to be zero is
// zero. Latencies do not influence the result. Only the zone scenario has time
// limits: no new work may start in a zone later than zoneOutLimit after the request
// to take it out of service, and the zone has to receive work again within
// zoneReturnPeriod after it was brought back.
package scenario
