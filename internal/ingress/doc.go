// Package ingress is the HTTP server for callers that use a platform's request
// format. A Codec decodes requests and selects the header fields of an answer
// that callers receive.
//
// # Usage
//
//	se := &ingress.Server{Listener: ln, Codec: codec, Dispatcher: di, Hangups: wa, Clock: clock}
//	se.Prepare()
//	err := se.Run(ctx)   // a controller.Controller
//	se.Stop(serving, writing) // closes the listener, then waits for requests in flight
package ingress
