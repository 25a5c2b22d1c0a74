package peer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/intake"
)

const (
	// defaultMemory limits the memory of messages and calls, in bytes.
	defaultMemory = 16 << 20
	// defaultConns limits the connections, and defaultConnsMemory their memory in bytes.
	defaultConns       = 1024
	defaultConnsMemory = 16 << 20
	// ConnBytes is the memory of a connection: its buffers, the types that it defines and
	// the stack of its goroutine.
	ConnBytes = 24 << 10
)

// Server serves the calls of other instances. Set the exported fields before Run.
type Server struct {
	// Listener accepts the connections. For mutual TLS it is a TLS listener.
	Listener net.Listener
	// Limiter limits the connections. If it is nil, there may be 1024, with 16 MB of
	// memory.
	Limiter *intake.Limiter
	// Memory limits the memory of messages that arrive and of calls in progress. If it is
	// nil, the limit is 16 MB.
	Memory *buffer.Budget
	// OnClose is called for each connection that is closed for its messages. It may be nil.
	OnClose func(Cause)

	rpc rpc.Server
}

// Name implements controller.Controller.
func (se *Server) Name() string { return "peer" }

// Register publishes the methods of service under name.
func (se *Server) Register(name string, service any) error {
	return se.rpc.RegisterName(name, service)
}

// Recover turns a panic of a net/rpc method into its error. The method defers it with
// its named result. net/rpc runs methods on goroutines of its own, so that a panic
// would end the process.
func Recover(err *error) {
	if cause := recover(); cause != nil {
		*err = fmt.Errorf("peer: panic: %v", cause)
	}
}

// Run accepts connections until ctx ends.
func (se *Server) Run(ctx context.Context) error {
	se.setDefaults()
	stop := context.AfterFunc(ctx, func() { _ = se.Listener.Close() })
	defer stop()
	ln := se.Limiter.Listen(se.Listener)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return &Error{Op: "accept", Peer: se.Listener.Addr().String(), Kind: Unreachable, Err: err}
		}
		go se.serve(conn)
	}
}

func (se *Server) setDefaults() {
	if se.Limiter == nil {
		se.Limiter = &intake.Limiter{Bytes: defaultConnsMemory, ActiveBytes: ConnBytes, Conns: defaultConns}
	}
	if se.Memory == nil {
		se.Memory = &buffer.Budget{Bytes: defaultMemory}
	}
}

func (se *Server) serve(conn net.Conn) {
	rd := newReader(conn, se.Memory)
	se.rpc.ServeCodec(newCodec(rd))
	rd.free()
	if rd.cause != "" && se.OnClose != nil {
		se.OnClose(rd.cause)
	}
}
