package explain

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"filbertstall.example/filbertstall/internal/operator"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/pkg/kind"
)

// ServiceName is the net/rpc name under which instances register Service.
const ServiceName = "Explain"

// findTimeout bounds the query to all other instances.
const findTimeout = time.Second

// Finder looks up explanations on this instance first and then on all others. Set
// the fields before the first call.
type Finder struct {
	Ring   *Ring
	Caller peer.Caller
	// Peers returns the peer addresses of the other instances.
	Peers func() []string
}

// FindArgs is the argument of Service.Find: the ID of a request.
type FindArgs struct{ Request string }

// FindReply is the result of Service.Find. Explanation is valid only if Found is
// set.
type FindReply struct {
	Found       bool
	Explanation Explanation
}

// Service is the net/rpc service that other instances call.
type Service struct{ ring *Ring }

// Service returns the service to register under ServiceName.
func (fi *Finder) Service() *Service { return &Service{ring: fi.Ring} }

// Find returns the events of a request that this instance has recorded.
func (se *Service) Find(args *FindArgs, reply *FindReply) error {
	reply.Explanation, reply.Found = se.ring.Explain(args.Request)
	return nil
}

// Find returns the explanation of a request from the first instance that has one.
// Instances that do not respond within one second count as having none.
func (fi *Finder) Find(ctx context.Context, id string) (Explanation, bool) {
	if ex, found := fi.Ring.Explain(id); found {
		return ex, true
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	peers := fi.Peers()
	replies := make([]FindReply, len(peers))
	var eg errgroup.Group
	for ix, address := range peers {
		eg.Go(func() error {
			var reply FindReply
			if fi.Caller.Call(ctx, address, ServiceName+".Find", &FindArgs{Request: id}, &reply) == nil {
				replies[ix] = reply
			}
			return nil
		})
	}
	_ = eg.Wait()
	for _, reply := range replies {
		if reply.Found {
			return reply.Explanation, true
		}
	}
	return Explanation{}, false
}

// Route returns the route GET /explain?request=ID of the operator listener.
func (fi *Finder) Route() operator.Route {
	return operator.Route{Role: kind.RoleView, Serve: func(re operator.Request) (any, error) {
		id := string(re.HTTP.QueryArgs().Peek("request"))
		ex, found := fi.Find(context.Background(), id)
		if !found {
			return nil, refusal.New(refusal.NotFound, "no instance that answers knows a recent request "+id)
		}
		return ex, nil
	}}
}
