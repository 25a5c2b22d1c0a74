// Package upstream sends requests to endpoints over HTTP/1.1 and reads their
// answers, and says of a failure whether the endpoint can have seen the
// request.
//
// It keeps connections of its own. The HTTP library's pool returns the next
// answer on a connection whatever request it belongs to, and can't tell
// whether a request was written; both decide here whether a request may be
// repeated.
//
// # Usage
//
//	po := &upstream.Pool{IDHeader: "Request-Id", Clock: clock}
//	an, err := po.Do(ctx, upstream.Call{Address: "10.0.0.1:80", Method: "GET", Target: "/x", ID: "7"})
//	body, err := an.ReadAll(4 << 20)
//	an.Close()
//
// A canceled context closes the connection, so that the endpoint drops the
// request.
package upstream
