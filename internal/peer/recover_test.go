package peer

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Faulty is a service whose method panics.
type Faulty struct{}

// Panic panics on odd numbers.
func (Faulty) Panic(number int, _ *int) (err error) {
	defer Recover(&err)
	if number%2 == 1 {
		panic("odd")
	}
	return nil
}

// A call that makes a method panic ended the process of the instance that served it.
func TestPanicEndsOneCall(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	se := &Server{Listener: ln}
	g.Expect(se.Register("Faulty", Faulty{})).To(Succeed())
	go func() { _ = se.Run(t.Context()) }()
	cl := &Client{}
	var reply int
	err = cl.Call(context.Background(), ln.Addr().String(), "Faulty.Panic", 1, &reply)
	g.Expect(IsKind(err, Remote)).To(BeTrue(), "%v", err)
	g.Expect(cl.Call(context.Background(), ln.Addr().String(), "Faulty.Panic", 2, &reply)).To(Succeed())
}

// Late is a service whose answers are decoded slowly.
type Late struct{}

// Answer is a reply whose decoding waits for decodeMayEnd.
type Answer struct{ Number int }

var decodeBegun, decodeMayEnd, decodeEnded = make(chan struct{}), make(chan struct{}), make(chan struct{})

// GobEncode implements gob.GobEncoder.
func (Answer) GobEncode() ([]byte, error) { return []byte{1}, nil }

// GobDecode implements gob.GobDecoder.
func (an *Answer) GobDecode([]byte) error {
	close(decodeBegun)
	<-decodeMayEnd
	an.Number = 7
	close(decodeEnded)
	return nil
}

// Ask answers.
func (Late) Ask(_ int, _ *Answer) error { return nil }

// An answer that was still being decoded when its call was abandoned was written into
// the caller's value, which the caller might read at the same time.
func TestLateAnswerIsNotDecodedIntoReply(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	se := &Server{Listener: ln}
	g.Expect(se.Register("Late", Late{})).To(Succeed())
	go func() { _ = se.Run(t.Context()) }()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-decodeBegun
		cancel()
	}()
	var an Answer
	err = (&Client{}).Call(ctx, ln.Addr().String(), "Late.Ask", 1, &an)
	g.Expect(IsKind(err, Lost)).To(BeTrue(), "%v", err)
	close(decodeMayEnd)
	<-decodeEnded
	g.Expect(an.Number).To(BeZero())
}
