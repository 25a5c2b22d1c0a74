// Package intent decodes intent files. An intent is an operator's request for
// changes to the fleet, written as JSON with comments: a list of actions on
// halves, zones, teams, services, endpoints and instances. The halves are the two
// organisations that the deployment is split into.
//
// # Usage
//
//	in, err := intent.Parse("zone.hujson", data) // document.Faults
//	ta, err := in.Target(configuration)          // document.Faults
//	changes := plan.Diff(configuration, ta.Final)
//	for _, st := range ta.Stops { ... }          // instances to stop, one after the other
//
// Decoding an intent changes nothing. Package plan turns its target into steps.
package intent
