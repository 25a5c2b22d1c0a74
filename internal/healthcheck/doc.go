// Package healthcheck asks engines themselves whether they leave, while the
// store can't tell: its notices don't arrive when it is down, or when it turns
// this instance away, and an engine whose leaving is missed takes its streams
// with it.
//
// Only engines with runs of this instance are asked, and only while what is
// known of the store is old: each question has a price, and in calm times the
// store's notice is as early.
//
// # Usage
//
//	ch := &healthcheck.Checker{Engines: engines, Runs: mover.Endpoints, Stale: stale, Leave: ro.Leave, Clock: clock, Log: log}
//	err := ch.Run(ctx) // a controller.Controller
package healthcheck
