package explain_test

import (
	"context"
	"errors"
	"strconv"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/explain"
	"filbertstall.example/filbertstall/internal/operator"
	"filbertstall.example/filbertstall/internal/refusal"
)

func TestRingIsBounded(t *testing.T) {
	gm := NewWithT(t)
	ri := &explain.Ring{Clock: clockwork.NewFakeClock()}
	for ix := range 5000 {
		ri.Add(strconv.Itoa(ix), explain.Event{Step: explain.Queued})
	}
	for range 100 {
		ri.Add("4999", explain.Event{Step: explain.Retried})
	}
	_, found := ri.Explain("0")
	gm.Expect(found).To(BeFalse())
	ex, found := ri.Explain("4999")
	gm.Expect(found).To(BeTrue())
	gm.Expect(ex.Events).To(HaveLen(32))
	gm.Expect(ex.Events[0].Step).To(Equal(explain.Queued))
}

// fakePeers is a peer.Caller that calls the finders of a map by peer address.
type fakePeers map[string]*explain.Finder

func (fp fakePeers) Call(_ context.Context, address, _ string, args, reply any) error {
	fi, found := fp[address]
	if !found {
		return errors.New("peer does not respond")
	}
	return fi.Service().Find(args.(*explain.FindArgs), reply.(*explain.FindReply))
}

// TestRoute queries one instance for a request of its own, for a request of another
// instance while a third one does not respond, and for an unknown request.
func TestRoute(t *testing.T) {
	gm := NewWithT(t)
	clock := clockwork.NewFakeClock()
	second := &explain.Finder{Ring: &explain.Ring{Clock: clock}}
	first := &explain.Finder{
		Ring: &explain.Ring{Clock: clock}, Caller: fakePeers{"second": second},
		Peers: func() []string { return []string{"dead", "second"} },
	}
	first.Ring.Add("r1", explain.Event{Step: explain.Granted, Endpoint: "engine-3"})
	second.Ring.Add("r2", explain.Event{Step: explain.Granted, Endpoint: "engine-4"})
	ask := func(id string) (any, error) {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetRequestURI("/explain?request=" + id)
		return first.Route().Serve(operator.Request{HTTP: ctx})
	}
	for id, endpoint := range map[string]string{"r1": "engine-3", "r2": "engine-4"} {
		value, err := ask(id)
		gm.Expect(err).NotTo(HaveOccurred())
		gm.Expect(value.(explain.Explanation).Events[0].Endpoint).To(Equal(endpoint))
	}
	_, err := ask("r3")
	gm.Expect(refusal.From(err).Reason).To(Equal(refusal.NotFound))
}
