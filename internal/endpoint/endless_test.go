package endpoint

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/endlessfake"
)

const (
	// maxReadBytes limits what a caller may read of one answer without end, with what
	// sockets hold, in bytes.
	maxReadBytes = 32 << 20
	// endlessTimeout ends a call whose caller doesn't give up.
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
