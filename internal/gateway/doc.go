// Package gateway puts an instance together that serves callers on a platform:
// it follows the platform's store, answers requests and stops in order. What
// it speaks is given by an Adapter.
//
// # Usage
//
//	gw := &gateway.Gateway{Settings: se, Adapter: adapter, Clock: clock, Log: log}
//	err := gw.Run(ctx) // until ctx ends, then stops in order
package gateway
