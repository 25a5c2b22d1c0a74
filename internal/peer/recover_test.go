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
