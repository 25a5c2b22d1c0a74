package readahead

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

// pipe is a source whose writer blocks until it is read, like an endpoint whose
// caller does not read.
func pipe() (*io.PipeReader, *io.PipeWriter) { return io.Pipe() }

// A caller that reads nothing does not stop the endpoint, whose stream fits into
// memory. Without reading ahead, the first write would block.
func TestSlowCallerDoesNotBlockEndpoint(t *testing.T) {
	g := NewWithT(t)
	from, to := pipe()
	rd := NewReader(from, &Budget{Bytes: DefaultBytes})
	stream := bytes.Repeat([]byte("id: 1\ndata: token\n\n"), 20_000)
	count, err := to.Write(stream)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(count).To(Equal(len(stream)))
	g.Expect(to.Close()).To(Succeed())
	got, err := io.ReadAll(rd)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(stream))
	g.Expect(rd.Close()).To(Succeed())
}

// A stream that is broken off never looks complete.
func TestErrorFollowsLastByte(t *testing.T) {
	g := NewWithT(t)
	broken := errors.New("broken")
	source := io.NopCloser(io.MultiReader(bytes.NewReader([]byte("id: 1\n\n")), iotest.ErrReader(broken)))
	rd := NewReader(source, &Budget{Bytes: DefaultBytes})
	got, err := io.ReadAll(rd)
	g.Expect(err).To(MatchError(broken))
	g.Expect(string(got)).To(Equal("id: 1\n\n"))
	g.Expect(rd.Close()).To(Succeed())
}

// Many streams of callers that read nothing take no more memory than the budget, and
// all of it is given back.
func TestBudgetOfAllStreams(t *testing.T) {
	g := NewWithT(t)
	const streams, bytesEach = 64, 256 << 10
	bu := &Budget{Bytes: 1 << 20}
	var readers []*Reader
	for range streams {
		readers = append(readers, NewReader(io.NopCloser(bytes.NewReader(make([]byte, bytesEach))), bu))
	}
	g.Eventually(bu.Used).Should(Equal(bu.Bytes))
	for ix, rd := range readers {
		got, err := io.ReadAll(rd)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(HaveLen(bytesEach), "stream %d", ix)
		g.Expect(bu.Used()).To(BeNumerically("<=", bu.Bytes))
	}
	for _, rd := range readers {
		g.Expect(rd.Close()).To(Succeed())
	}
	g.Expect(bu.Used()).To(BeZero())
}

// A Reader that is closed at its bound, or while it reads, gives all memory back.
func TestCloseGivesMemoryBack(t *testing.T) {
	g := NewWithT(t)
	bu := &Budget{Bytes: 8 << 10}
	from, to := pipe()
	full := NewReader(io.NopCloser(bytes.NewReader(make([]byte, 1<<20))), bu)
	g.Eventually(bu.Used).Should(Equal(bu.Bytes))
	reading := NewReader(from, bu)
	g.Expect(full.Close()).To(Succeed())
	g.Expect(to.CloseWithError(io.ErrClosedPipe)).To(Succeed())
	g.Expect(reading.Close()).To(Succeed())
	g.Expect(bu.Used()).To(BeZero())
}

// Whatever the sizes of reads, the bytes arrive once and in order.
func TestBytesOnceInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		stream := rapid.SliceOfN(rapid.Byte(), 0, 40_000).Draw(rt, "stream")
		size := rapid.IntRange(1, 9_000).Draw(rt, "size")
		bu := &Budget{Bytes: rapid.IntRange(1, 50_000).Draw(rt, "budget")}
		rd := NewReader(io.NopCloser(iotest.HalfReader(bytes.NewReader(stream))), bu)
		var got []byte
		buffer := make([]byte, size)
		for {
			count, err := rd.Read(buffer)
			got = append(got, buffer[:count]...)
			if err != nil {
				break
			}
		}
		if err := rd.Close(); err != nil || !bytes.Equal(got, stream) || bu.Used() != 0 {
			rt.Fatalf("read %d of %d bytes, %d in memory, %v", len(got), len(stream), bu.Used(), err)
		}
	})
}
