package peer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"

	"filbertstall.example/filbertstall/internal/buffer"
)

// defaultMemory limits the memory of messages and calls, in bytes.
const defaultMemory = 16 << 20

// Server serves the calls of other instances. Set the exported fields before Run.
type Server struct {
	// Listener accepts the connections. For mutual TLS it is a TLS listener.
	Listener net.Listener
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
	for {
		conn, err := se.Listener.Accept()
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
