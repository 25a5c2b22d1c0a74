// Package gateway assembles an instance that serves callers on a platform: it
// watches the platform's store, answers requests and shuts down gracefully. An
// Adapter supplies the protocols of the platform.
//
// # Usage
//
//	gw := &gateway.Gateway{Settings: se, Adapter: adapter, Clock: clock, Boot: boottime.System{}, Log: log}
//	err := gw.Run(ctx) // serves until ctx is canceled, then shuts down gracefully
package gateway
