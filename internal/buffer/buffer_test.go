package buffer

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"runtime"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261205")
	_ = flag.Set("rapid.checks", "300")
}

// endless is a body that never ends.
type endless struct{}

func (endless) Read(into []byte) (int, error) { return len(into), nil }

// Whatever sizes bodies have and in whichever order they come and go, the memory in use
// is what the live ones hold, the bound is kept, and each body comes out as it went in.
func TestBuffersKeepTheirBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(t)
		bu := &Budget{Bytes: rapid.Int64Range(0, 1<<20).Draw(rt, "budget")}
		var held []*Buffer
		for range rapid.IntRange(1, 30).Draw(rt, "bodies") {
			body := bytes.Repeat([]byte{byte(len(held))}, rapid.IntRange(0, 300_000).Draw(rt, "size"))
			bf := New(bu)
			err := bf.Fill(iotest.OneByteReader(bytes.NewReader(body[:min(len(body), 3)])), 1<<20)
			g.Expect(err).NotTo(HaveOccurred(), "small bodies always fit")
			bf.Free()
			err = bf.Fill(bytes.NewReader(body), 250_000)
			switch {
			case len(body) > 250_000:
				g.Expect(err).To(Or(MatchError(ErrTooLarge), MatchError(ErrFull)))
			case err != nil:
				g.Expect(err).To(MatchError(ErrFull))
			default:
				held = append(held, bf)
			}
			g.Expect(bu.Used()).To(BeNumerically("<=", bu.Bytes))
			if len(held) > 0 && rapid.Bool().Draw(rt, "freed") {
				rd := held[0].Reader()
				want := held[0].Len()
				copied := held[0].Bytes()
				data, err := io.ReadAll(rd)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(data).To(HaveLen(want))
				g.Expect(copied).To(Equal(data))
				g.Expect(rd.Close()).To(Succeed())
				g.Expect(rd.Close()).To(Succeed(), "a second time")
				held = held[1:]
			}
		}
		for _, bf := range held {
			bf.Free()
		}
		g.Expect(bu.Used()).To(BeZero())
	})
}

// Bodies without end once took all room, so that sound answers failed beside them.
func TestSmallBodiesFitBesideEndlessOnes(t *testing.T) {
	g := NewWithT(t)
	bu := &Budget{Bytes: 8 << 20}
	var list []*Buffer
	for range 16 {
		bf := New(bu)
		for bf.share.Resize(int64(bf.capacity + maxChunkBytes)) {
			bf.capacity += maxChunkBytes
		}
		list = append(list, bf)
	}
	g.Expect(bu.Used()).To(BeNumerically("<=", bu.Bytes))
	g.Expect(list[0].capacity).To(BeNumerically("==", bu.Bytes/2), "one alone may have half")
	g.Expect(New(bu).Fill(endless{}, 1<<30)).To(MatchError(ErrFull))
	sound := New(bu)
	g.Expect(sound.Fill(bytes.NewReader(make([]byte, firstChunkBytes)), 1<<20)).To(Succeed())
}

// A body once took three times its size, since the old and the new array of a slice that
// grows stand beside each other.
func TestBufferTakesNoMoreMemoryThanItCounts(t *testing.T) {
	g := NewWithT(t)
	bu := &Budget{Bytes: 64 << 20}
	body := io.LimitReader(endless{}, 16<<20)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	bf := New(bu)
	g.Expect(bf.Fill(body, 32<<20)).To(Succeed())
	runtime.ReadMemStats(&after)
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", bu.Used()+(1<<20)))
	g.Expect(bu.Used()).To(BeNumerically("<=", 16<<20+maxChunkBytes))
}

func TestErrorOfTheBody(t *testing.T) {
	g := NewWithT(t)
	bu := &Budget{Bytes: 1 << 20}
	bf, failure := New(bu), errors.New("reset")
	err := bf.Fill(io.MultiReader(bytes.NewReader(make([]byte, 100_000)), iotest.ErrReader(failure)), 1<<20)
	g.Expect(err).To(MatchError(failure))
	g.Expect(bu.Used()).To(BeZero())
	g.Expect(bf.Len()).To(BeZero())
}

// A body alone that fitted into the budget was refused because its copy did not.
func TestBodyOfHalfTheBudgetCanBeJoined(t *testing.T) {
	g := NewWithT(t)
	bu := &Budget{Bytes: 16 << 20}
	bf := New(bu)
	body := io.MultiReader(io.LimitReader(endless{}, 8<<20-maxChunkBytes), bytes.NewReader(nil))
	g.Expect(bf.Fill(body, 8<<20)).To(Succeed())
	g.Expect(bf.Join()).To(Succeed())
	g.Expect(bf.Bytes()).To(HaveLen(8<<20 - maxChunkBytes))
	g.Expect(bu.Used()).To(BeNumerically("<=", 8<<20))
	bf.Free()
	g.Expect(bu.Used()).To(BeZero())
}
