// Package intake limits what the connections that others open may cost an instance:
// descriptors, memory and time. Those at the other end may be clients that do not behave.
//
// A Limiter counts the connections of its listeners, and the memory that they take. A
// connection is silent until its first byte arrives. From then on it takes the memory of a
// read buffer. While it serves no request, it may be closed for others: if a bound is
// reached, the connections that have not brought a whole request yet are closed first, the
// oldest of them first, and then those that have been idle longest. So a new connection with
// an ordinary request is always accepted unless all others serve requests.
//
// A head must be complete within a time from its first byte. A body may take any time as long
// as bytes of it arrive.
//
// # Usage
//
//	li := &intake.Limiter{
//		Bytes: 24 << 20, ActiveBytes: 48 << 10, Conns: 2000, BodyTimeout: 30 * time.Second,
//		HeadTimeout: func() time.Duration { return 6 * time.Second },
//	}
//	se.Serve(li.Listen(ln))
//
// The handler of a request reads its body with ReadBody and calls Served when the request is
// whole. When the server reads on from the connection, it has written the answer.
package intake
