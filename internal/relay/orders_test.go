package relay

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/rollout"
)

// orderRegistry records what Orders passes on.
type orderRegistry struct {
	list      []rollout.Order
	confirmed time.Time
}

func (or *orderRegistry) Put(list []rollout.Order) { or.list = list }
func (or *orderRegistry) Confirmed(at time.Time)   { or.confirmed = at }

// withOrders gives an instance a list of orders.
func (no *node) withOrders() *orderRegistry {
	re := &orderRegistry{}
	no.log.Orders = &Orders{Registry: re, Clock: no.clock, Boot: no.boot, OnChange: func(_, _ []rollout.Order) { no.log.Observe() }}
	return re
}

// pass hands an update of one instance to another, as Switch.update does.
func (no *node) pass(g *WithT, up Update) {
	var wire bytes.Buffer
	g.Expect(gob.NewEncoder(&wire).Encode(up)).To(Succeed())
	var got Update
	g.Expect(gob.NewDecoder(&wire).Decode(&got)).To(Succeed())
	if got.HasOrders {
		no.log.Orders.Put(got.Orders)
		no.log.Orders.Confirm(no.boot.Now() - got.OrdersAge)
	}
}

func (no *node) advance(by time.Duration) {
	no.boot.Advance(by)
	no.clock.Advance(by)
}

// Orders reach instances over several others. Neither their own ages nor that of their
// confirmation get smaller on the way, and a change answers held calls.
func TestOrdersAgeOnTheWay(t *testing.T) {
	g := NewWithT(t)
	reader, middle, last := newNode(), newNode(), newNode()
	reader.withOrders()
	middle.withOrders()
	registry := last.withOrders()
	g.Expect(reader.ask(Query{}).HasOrders).To(BeFalse(), "nothing is known yet")
	reader.log.Orders.Put([]rollout.Order{{Service: "s", Target: "v2", Budget: 12 * time.Second, Revision: 5, Age: time.Second}})
	reader.log.Orders.Confirm(reader.boot.Now())
	for _, no := range []*node{reader, middle, last} {
		no.advance(2 * time.Second)
	}
	middle.pass(g, reader.ask(Query{}))
	middle.advance(3 * time.Second)
	last.advance(3 * time.Second)
	last.pass(g, middle.ask(Query{}))
	g.Expect(registry.list).To(HaveLen(1))
	g.Expect(registry.list[0].Age).To(Equal(6 * time.Second))
	g.Expect(registry.confirmed).To(Equal(last.clock.Now().Add(-5 * time.Second)))

	last.log.Orders.Put([]rollout.Order{{Service: "s", Target: "v2", Budget: 12 * time.Second, Revision: 6, State: rollout.Canary}})
	g.Expect(registry.list[0].Age).To(Equal(6*time.Second), "a reader that learnt of the order later")
	last.log.Orders.Put([]rollout.Order{{Service: "s", Target: "v3", Budget: 12 * time.Second, Revision: 7}})
	g.Expect(registry.list[0].Age).To(BeZero(), "another order")

	first := reader.ask(Query{})
	next := make(chan Update)
	go func() { next <- reader.ask(Query{Epoch: first.Epoch, Sequence: first.Sequence, Wait: time.Minute}) }()
	reader.log.Orders.Put(nil)
	var up Update
	g.Eventually(next).Should(Receive(&up))
	middle.pass(g, up)
	g.Expect(middle.log.Orders.List()).To(BeEmpty(), "an order that was taken back")
	g.Expect(middle.log.Orders.Has("s")).To(BeFalse())
}

// An instance of an earlier version sends no orders, which removes none.
func TestOrdersBesideEarlierVersions(t *testing.T) {
	g := NewWithT(t)
	earlier, no := newNode(), newNode()
	registry := no.withOrders()
	no.log.Orders.Put([]rollout.Order{{Service: "s", Target: "v2"}})
	no.pass(g, earlier.ask(Query{}))
	g.Expect(registry.list).To(HaveLen(1))
	no.log.Orders.Replace(rollout.Order{Service: "s", Target: "v2", Revision: 4, State: rollout.Promoting})
	g.Expect(registry.list[0].State).To(Equal(rollout.Promoting))
	no.log.Orders.Replace(rollout.Order{Service: "s", Target: "v2", Revision: 3, State: rollout.Canary})
	no.log.Orders.Replace(rollout.Order{Service: "t", Target: "v2", Revision: 9})
	g.Expect(registry.list).To(HaveLen(1))
	g.Expect(registry.list[0].State).To(Equal(rollout.Promoting))
}
