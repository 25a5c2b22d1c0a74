package endpoint

import (
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/endlessfake"
)

const (
	// maxReadBytes limits what a caller may read of one answer without end, with what
	// sockets hold, in bytes.
	maxReadBytes = 32 << 20
	// slots is the number of calls at one endpoint, maxHeldBytes what they may hold together
	// while their answers arrive, in bytes.
	slots        = 24
	maxHeldBytes = 112 << 20
	// endlessTimeout ends a call that its caller doesn't end.
	endlessTimeout = 20 * time.Second
)

// A faulty endpoint sent answers without end, and its caller kept or read them until the
// endpoint closed.
func TestCallersGiveUpOnAnswersWithoutEnd(t *testing.T) {
	cl := &Client{IdleTimeout: endlessTimeout}
	for _, ca := range []struct {
		name string
		call func(url string)
	}{
		{"call", func(url string) {
			_, _ = cl.Call(url, Request{Method: http.MethodGet, Path: "/x", Timeout: endlessTimeout})
		}},
		{"load", func(url string) { _, _ = cl.Load(url) }},
		{"cache events", func(url string) { _, _ = cl.CacheEvents(url, 0) }},
		{"cancel", func(url string) { _ = cl.Cancel(url, "g") }},
		{"order", func(url string) { _ = cl.Order(url, Order{Action: "load"}) }},
		{"generation", func(url string) {
			st, err := cl.Generate(url, Generation{ID: "g", Path: "/v1/completions"})
			for err == nil {
				err = st.Next(&Event{})
			}
		}},
		{"resumed generation", func(url string) {
			st, err := cl.Resume(url, "g", 0)
			for err == nil {
				err = st.Next(&Event{})
			}
		}},
	} {
		for _, wa := range endlessfake.Ways() {
			t.Run(ca.name+"/"+wa.Name, func(t *testing.T) {
				g := NewWithT(t)
				se := endlessfake.Serve(t, wa)
				ca.call("http://" + se.Address)
				g.Expect(se.Written()).To(BeNumerically("<", maxReadBytes))
			})
		}
	}
}

// Answers of many calls, each as large as allowed and short of its end, were held in memory
// without a common limit.
func TestAnswersThatArriveFitIntoMemory(t *testing.T) {
	g := NewWithT(t)
	se := endlessfake.Serve(t, endlessfake.Unfinished(maxCallAnswerBytes))
	cl := &Client{}
	var calls sync.WaitGroup
	for range slots {
		calls.Go(func() {
			_, _ = cl.Call("http://"+se.Address, Request{Method: http.MethodGet, Path: "/x", Timeout: time.Minute})
		})
	}
	g.Eventually(se.Sent, endlessTimeout).Should(BeNumerically("==", slots))
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	t.Logf("held: %d MB", stats.HeapAlloc>>20)
	g.Expect(stats.HeapAlloc).To(BeNumerically("<", maxHeldBytes))
	se.Close()
	calls.Wait()
}
