package backpressure

import (
	"context"
	"time"

	"filbertstall.example/filbertstall/internal/peer"
)

// ServiceName is the name under which Service is registered with a peer.Server.
const ServiceName = "Backpressure"

// Query is the argument of Service.All.
type Query struct {
	// Reserved is unused. It is present because gob cannot encode empty structs.
	Reserved bool
}

// Reply is the result of Service.All.
type Reply struct{ Statements []Statement }

// Service serves a Registry over net/rpc.
type Service struct{ re *Registry }

// Service returns the receiver to register with peer.Server under ServiceName.
func (re *Registry) Service() *Service { return &Service{re: re} }

// All returns what endpoints have said and what still holds.
func (se *Service) All(_ *Query, reply *Reply) (err error) {
	defer peer.Recover(&err)
	reply.Statements = se.re.All()
	return nil
}

// All returns the statements of all endpoints that have a limit, are brittle or leave.
func (re *Registry) All() []Statement {
	all, now := re.states.Load(), re.Boot.Now()
	if all == nil {
		return nil
	}
	var list []Statement
	for id, st := range *all {
		if st.limit.Named || st.brittle || st.leaving {
			list = append(list, Statement{Endpoint: id, Started: st.started, Limit: st.limit, Leaving: st.leaving, Brittle: st.brittle, Age: now - st.observedAt})
		}
	}
	return list
}

// pullTimeout limits a call of Pull.
const pullTimeout = 2 * time.Second

// Pull merges the statements that the instance at a peer address knows. Instances of
// earlier versions don't tell them, which is no error.
func (re *Registry) Pull(ctx context.Context, ca peer.Caller, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply Reply
	err := ca.Call(ctx, address, ServiceName+".All", &Query{}, &reply)
	if peer.IsKind(err, peer.Remote) {
		return nil
	}
	re.Merge(reply.Statements)
	return err
}
