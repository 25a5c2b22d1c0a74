package relay

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/roster"
)

// Guards against a start that took 3 s longer: a change was recorded and then taken back by
// a call that had read the endpoints before it, until the next answer about endpoints.
func TestChangesAtTheSameTimeAreKept(t *testing.T) {
	g := NewWithT(t)
	no := newNode()
	for ix := range 3000 {
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(no.log.Observe)
		}
		no.put("e", func(en *roster.Endpoint) { en.Slots = ix })
		wg.Wait()
		g.Expect(no.ask(Query{}).Endpoints[0].Slots).To(Equal(ix))
	}
}
