package forwarding

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"filbertstall.example/filbertstall/internal/boottime"
	"filbertstall.example/filbertstall/internal/dispatch"
	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/peer"
	"filbertstall.example/filbertstall/internal/upstream"
)

const (
	// skipTime is the time for which an instance that could not be reached gets no
	// further requests.
	skipTime = time.Second
	// maxIdle is the longest idle time of a connection that is used again.
	maxIdle = 5 * time.Second
)

// ErrNoInstance means that no other instance is known to have links to the endpoints.
var ErrNoInstance = errors.New("forwarding: no other instance has links to the endpoints")

// Paths tells which other instances have lost their links to endpoints.
// reachability.Tracker implements it.
type Paths interface {
	LostAt(instance, service string) bool
}

// Forwarder forwards requests to other instances. Set the fields before use. It is safe
// for concurrent use.
type Forwarder struct {
	Pool *upstream.Pool
	// Encode returns the call by which another instance gets a request, without the
	// address.
	Encode  func(re *dispatch.Request, remaining time.Duration) upstream.Call
	Self    loadshare.Member
	Members *loadshare.Members
	// Takes reports whether messages of an instance arrive and it does not shut down.
	Takes func(name string) bool
	Paths Paths
	Boot  boottime.Clock

	// skips has the instances that could not be reached recently.
	skips peer.Skips
}

// Forward implements dispatch.Forwarder.
func (fo *Forwarder) Forward(ctx context.Context, re *dispatch.Request, service string, tried map[string]bool, remaining time.Duration) (*upstream.Answer, string, error) {
	me, found := fo.choose(service, tried)
	if !found {
		return nil, "", ErrNoInstance
	}
	ca := fo.Encode(re, remaining)
	ca.Address, ca.MaxIdle = me.Forwards.String(), maxIdle
	an, err := fo.Pool.Do(ctx, ca)
	if err != nil {
		if upstream.KindOf(err) == upstream.NotSent {
			fo.skips.Add(me.Name, fo.Boot.Now()+skipTime)
		}
		return nil, me.Name, fmt.Errorf("forwarding to %s: %w", me.Name, err)
	}
	return an, me.Name, nil
}

// choose returns a random instance that has links to the endpoints of a service: one of
// the same zone, or else of another.
func (fo *Forwarder) choose(service string, tried map[string]bool) (loadshare.Member, bool) {
	var near, far []loadshare.Member
	for _, me := range fo.Members.List() {
		switch {
		case me.Name == fo.Self.Name || !me.Forwards.IsValid() || tried[me.Name] || fo.skips.Has(me.Name, fo.Boot.Now()):
		case !fo.Takes(me.Name) || fo.Paths.LostAt(me.Name, service):
		case me.Zone == fo.Self.Zone:
			near = append(near, me)
		default:
			far = append(far, me)
		}
	}
	list := near
	if len(list) == 0 {
		list = far
	}
	if len(list) == 0 {
		return loadshare.Member{}, false
	}
	return list[rand.IntN(len(list))], true
}
