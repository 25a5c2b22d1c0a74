// Package ingress is the listener towards callers whose requests have a
// platform's form. A Codec reads requests and says which header fields of an
// answer callers get; the rest is HTTP.
//
// # Usage
//
//	se := &ingress.Server{Listener: ln, Codec: codec, Dispatcher: di, Hangups: wa, Clock: clock}
//	err := se.Run(ctx)   // a controller.Controller
//	se.Stop(ctx)         // answers what is open, then closes
package ingress
