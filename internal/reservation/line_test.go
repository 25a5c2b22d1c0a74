package reservation

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/placement"
	"filbertstall.example/filbertstall/internal/roster"
)

// desk is one allocator with two engines, whose requests wait in virtual time.
type desk struct {
	*fleet
	al      *Allocator
	tickets map[string]*placement.Ticket
	waiting map[string]*waiter
	// order has the requests in the order in which they got engines.
	order []string
}

func newDesk() *desk {
	fl := newFleet(minInstances, 1, 2)
	at := fl.allocator(0, "z0")
	return &desk{fleet: fl, al: fl.clients[at].Allocator, tickets: map[string]*placement.Ticket{}, waiting: map[string]*waiter{}}
}

// ask lets a request come in. change may be nil.
func (de *desk) ask(id string, prompt, output int, change func(re *Request)) TakeReply {
	re := request(id, prompt, output)
	if change != nil {
		change(&re)
	}
	reply, wa := de.al.takeOrWait(TakeArgs{Request: re, Zone: "z0", From: "i0"})
	if wa != nil {
		de.waiting[id] = wa
		return TakeReply{Decision: Waiting}
	}
	de.begin(id, re, reply)
	return reply
}

// begin accounts for a granted request, whose prompt is read at once.
func (de *desk) begin(id string, re Request, reply TakeReply) {
	if reply.Decision != Granted {
		return
	}
	ti := de.al.Tracker.Begin(roster.Endpoint{ID: reply.Endpoint}, re.demand())
	ti.Started()
	de.al.Settle([]uint64{reply.Grant})
	de.tickets[id], de.order = ti, append(de.order, id)
}

// serve looks for room and returns the requests that got it.
func (de *desk) serve() []string {
	from := len(de.order)
	for round := true; round; {
		round = false
		de.al.Serve()
		for id, wa := range de.waiting {
			select {
			case reply := <-wa.answer:
				delete(de.waiting, id)
				de.begin(id, wa.args.Request, reply)
				round = true
			default:
			}
		}
	}
	return de.order[from:]
}

// end ends a request, and lets others have its room.
func (de *desk) end(id string) []string {
	de.tickets[id].End(placement.Done)
	return de.serve()
}

// renew lets the instances of all waiting requests ask again after some time.
func (de *desk) renew(after time.Duration) {
	de.pass(after, nil)
	for _, wa := range de.waiting {
		wa.renewed = de.boot.Now()
	}
}

// fill takes all memory of both engines by six requests of a team.
func (de *desk) fill(g *WithT) {
	for ix := range 6 {
		g.Expect(de.ask(fmt.Sprint("full", ix), 7500, 500, func(re *Request) { re.Team = "large" }).Decision).To(Equal(Granted))
	}
}

func TestOrderOfWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	de := newDesk()
	de.fill(g)
	wait := func(id string, prompt int, change func(re *Request)) {
		g.Expect(de.ask(id, prompt, 400, change).Decision).To(Equal(Waiting), id)
	}
	wait("less urgent", 7600, func(re *Request) { re.Priority, re.Team = 1, "small" })
	wait("large team", 7600, func(re *Request) { re.Team = "large" })
	wait("later", 7600, func(re *Request) { re.Team, re.OnTime = "small", 2*time.Second })
	wait("sooner", 7600, func(re *Request) { re.Team, re.OnTime = "small", 1500*time.Millisecond })
	wait("late", 7600, func(re *Request) { re.Team, re.OnTime = "small", -time.Second })
	g.Expect(de.serve()).To(BeEmpty())
	g.Expect(de.end("full0")).To(Equal([]string{"sooner"}))
	g.Expect(de.end("full1")).To(Equal([]string{"large team"}), "teams take turns by tokens")
	g.Expect(de.end("full2")).To(Equal([]string{"later"}))
	g.Expect(de.end("full3")).To(Equal([]string{"late"}))
	g.Expect(de.end("full4")).To(Equal([]string{"less urgent"}))
}

func TestShortRequestsPassLongOnesForATime(t *testing.T) {
	g := NewWithT(t)
	de := newDesk()
	de.fill(g)
	g.Expect(de.ask("long", 8000, 250, nil).Decision).To(Equal(Waiting))
	passed := 0
	for ix := range 3 * maxPasses {
		id := fmt.Sprint("short", ix)
		if de.ask(id, 100, 4, nil).Decision == Granted {
			passed++
			de.end(id)
		}
	}
	g.Expect(passed).To(Equal(maxPasses))
	g.Expect(de.end("full0")).To(ContainElement("long"))
}

func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	de := newDesk()
	de.fill(g)
	refused := 0
	for ix := range 2 * maxWaiting {
		re := de.ask(fmt.Sprint("r", ix), 7600, 400, nil)
		if re.Decision == Full {
			refused++
			g.Expect(re.After).To(BeNumerically(">", 3*time.Second), "longer than it may wait")
		}
	}
	g.Expect(refused).To(BeNumerically(">", maxWaiting))
	g.Expect(len(de.waiting)).To(BeNumerically("<", maxWaiting))

	// Those that wait in vain are told so, and are first among those of their team when
	// they come back.
	de.renew(3 * time.Second)
	de.al.Serve()
	g.Expect((<-de.waiting["r0"].answer).Decision).To(Equal(Full))
	g.Expect(de.al.lines["pool"].waiting).To(BeEmpty())
}

func TestCallersThatReturnAreFirst(t *testing.T) {
	g := NewWithT(t)
	de := newDesk()
	de.fill(g)
	ask := func(id string, key uint64, onTime time.Duration) {
		g.Expect(de.ask(id, 7600, 400, func(re *Request) { re.Key, re.OnTime = key, onTime }).Decision).To(Equal(Waiting))
	}
	ask("first", 17, 1500*time.Millisecond)
	de.renew(3 * time.Second)
	de.al.Serve()
	delete(de.waiting, "first")
	ask("late", 18, 0)
	de.renew(100 * time.Millisecond)
	ask("again", 17, 1500*time.Millisecond)
	ask("on time", 19, 1500*time.Millisecond)
	g.Expect(de.end("full0")).To(Equal([]string{"on time"}), "for its caller the one that returns is late")
	g.Expect(de.end("full1")).To(Equal([]string{"again"}))
}

// TestWaitingRequestsEnd covers the ends of waiting: the caller leaves, and the instance
// is gone.
func TestWaitingRequestsEnd(t *testing.T) {
	g := NewWithT(t)
	de := newDesk()
	de.fill(g)
	asker := (de.allocator(0, "z0") + 1) % minInstances
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := de.clients[asker].Reserve(ctx, request("left", 7600, 400))
	var er *Error
	g.Expect(err).To(BeAssignableToTypeOf(er))
	g.Expect(err.(*Error).Kind).To(Equal(Left))
	g.Expect(de.al.lines["pool"].waiting).To(BeEmpty())

	g.Expect(de.ask("gone", 7600, 400, nil).Decision).To(Equal(Waiting))
	de.boot.Advance(renewal + time.Millisecond)
	g.Expect(de.serve()).To(BeEmpty())
	g.Expect(de.al.lines["pool"].waiting).To(BeEmpty())
}
