package clocktest

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// The timers behave like those of the real clock.
func TestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		cl, begun := New(), time.Now()
		elapsed := func() time.Duration { return time.Since(begun) }
		<-cl.After(time.Second)
		g.Expect(elapsed()).To(Equal(time.Second))
		<-cl.After(0)
		<-cl.After(-time.Second)
		g.Expect(elapsed()).To(Equal(time.Second), "a timer that is due fires at once")

		ti := cl.NewTimer(time.Second)
		g.Expect(ti.Stop()).To(BeTrue())
		g.Expect(ti.Stop()).To(BeFalse())
		ti.Reset(2 * time.Second)
		<-ti.Chan()
		g.Expect(elapsed()).To(Equal(3 * time.Second))
		time.Sleep(time.Second)
		ti.Reset(0)
		g.Expect(ti.Stop()).To(BeFalse())
		g.Expect(ti.Chan()).NotTo(Receive(), "a stopped timer delivers nothing")

		tk := cl.NewTicker(time.Second)
		<-tk.Chan()
		time.Sleep(3500 * time.Millisecond)
		g.Expect(tk.Chan()).To(Receive(), "one tick is kept")
		g.Expect(tk.Chan()).NotTo(Receive(), "the others are dropped")
		tk.Reset(2 * time.Second)
		before := elapsed()
		<-tk.Chan()
		<-tk.Chan()
		g.Expect(elapsed() - before).To(Equal(4 * time.Second))
		tk.Stop()
		time.Sleep(5 * time.Second)
		g.Expect(tk.Chan()).NotTo(Receive())
	})
}
