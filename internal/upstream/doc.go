// Package upstream is an HTTP/1.1 client for endpoints. Its errors state whether
// the endpoint can have received the request.
//
// It has its own connection pool, because the pool of the HTTP library does not
// check that an answer belongs to the request, and cannot determine whether a request
// was written. Both are needed to decide whether a request may be retried.
//
// An endpoint may write an answer more than once, at any later time. The ID of an answer
// shows that it belongs to the call only if no earlier call on the connection had the same
// ID. A connection therefore carries each ID once: a call that is sent again to the same
// address uses another connection, and answers to other IDs are skipped.
//
// # Usage
//
//	po := &upstream.Pool{IDHeader: "Request-Id", Clock: clock}
//	an, err := po.Do(ctx, upstream.Call{
//		Address: "10.0.0.1:80", Method: "GET", Target: "/x", Host: "10.0.0.1",
//		ID: "7", Headers: []upstream.Header{{Name: "Request-Id", Value: "7"}},
//	})
//	body, err := an.ReadAll(4 << 20)
//	an.Close()
//
// Canceling the context closes the connection, so that the endpoint aborts the
// request.
package upstream
