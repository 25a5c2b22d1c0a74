package queue_test

import (
	"flag"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/queue"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queue")
}

var start = time.Unix(1_000_000, 0)

func item(id, team string, weight int) queue.Item[int] {
	return queue.Item[int]{ID: id, Team: team, Weight: weight, Arrived: start}
}

var _ = Describe("Queue", func() {
	It("shares the service by actual tokens in proportion to the weights", func() {
		qu := &queue.Queue[int]{}
		served := map[string]float64{}
		for ix := range 3000 {
			qu.Push(item("l"+strconv.Itoa(ix), "large", 1))
			qu.Push(item("s"+strconv.Itoa(ix), "small", 2))
		}
		length := map[string]float64{"large": 400, "small": 50}
		for range 1500 {
			it, _ := qu.Head()
			qu.Pop(100)
			qu.Charge(it.Team, length[it.Team]-100)
			served[it.Team] += length[it.Team]
		}
		Expect(served["small"] / served["large"]).To(BeNumerically("~", 2, 0.05))
	})

	It("gives an idle team no credit", func() {
		qu := &queue.Queue[int]{}
		for ix := range 100 {
			qu.Push(item("a"+strconv.Itoa(ix), "busy", 1))
			if ix < 50 {
				qu.Pop(100)
			}
		}
		for ix := range 100 {
			qu.Push(item("b"+strconv.Itoa(ix), "idle", 1))
		}
		served := map[string]int{}
		for range 20 {
			it, _ := qu.Head()
			served[it.Team]++
			qu.Pop(100)
		}
		Expect(served["busy"]).To(BeNumerically("~", 10, 1))
	})

	It("orders the items of a team by deadline", func() {
		qu := &queue.Queue[int]{}
		for _, seconds := range []int{5, 1, 3} {
			it := item(strconv.Itoa(seconds), "tatra", 1)
			it.Deadline = start.Add(time.Duration(seconds) * time.Second)
			qu.Push(it)
		}
		var order []string
		for qu.Len() > 0 {
			it, _ := qu.Head()
			order = append(order, it.ID)
			qu.Pop(1)
		}
		Expect(order).To(Equal([]string{"1", "3", "5"}))
	})

	It("agrees with a model under random sequences of calls", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			qu := &queue.Queue[int]{}
			model := map[string]time.Time{}
			now := start
			for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
				id := strconv.Itoa(rapid.IntRange(0, 20).Draw(rt, "id"))
				switch rapid.IntRange(0, 3).Draw(rt, "call") {
				case 0:
					it := item(id, "team"+strconv.Itoa(step%3), 1+step%2)
					it.ExpiresAt = now.Add(time.Duration(rapid.IntRange(1, 9).Draw(rt, "lifetime")) * time.Second)
					_, queued := model[id]
					if qu.Push(it) == queued {
						rt.Fatalf("Push(%s) returned %v, want the opposite", id, queued)
					}
					if !queued {
						model[id] = it.ExpiresAt
					}
				case 1:
					_, queued := model[id]
					if _, found := qu.Remove(id); found != queued {
						rt.Fatalf("Remove(%s) returned found=%v, want the opposite", id, found)
					}
					delete(model, id)
				case 2:
					if it, found := qu.Head(); found {
						delete(model, it.ID)
						qu.Pop(10)
					}
				case 3:
					now = now.Add(2 * time.Second)
					for it, found := qu.Expire(now); found; it, found = qu.Expire(now) {
						if model[it.ID].After(now) {
							rt.Fatalf("item %s expired before its ExpiresAt", it.ID)
						}
						delete(model, it.ID)
					}
				}
				if qu.Len() != len(model) {
					rt.Fatalf("%d items are queued, want %d", qu.Len(), len(model))
				}
			}
		})
	})
})
