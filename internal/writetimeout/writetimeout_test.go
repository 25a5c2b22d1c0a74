package writetimeout

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// steadyReader reads the given number of bytes in parts with a pause after each.
func steadyReader(conn net.Conn, size, part int, pause time.Duration) int {
	total := 0
	buffer := make([]byte, part)
	for total < size {
		count, err := io.ReadFull(conn, buffer[:min(part, size-total)])
		total += count
		if err != nil {
			break
		}
		time.Sleep(pause)
	}
	return total
}

// A caller that reads slowly but steadily was cut off in a large answer, which was
// one write. One that does not read at all is still cut off.
func TestSlowCallers(t *testing.T) {
	const size = 4 << 20
	for _, ca := range []struct {
		name  string
		reads int
		whole bool
	}{
		{"reads slowly for longer than the timeout", size, true},
		{"stops reading", size / 8, false},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			server, client := net.Pipe()
			defer func() { _ = client.Close() }()
			co := &Conn{Conn: server, timeout: 500 * time.Millisecond}
			go steadyReader(client, ca.reads, 64<<10, 60*time.Millisecond)
			begun := time.Now()
			written, err := co.Write(make([]byte, size))
			g.Expect(err == nil).To(Equal(ca.whole))
			g.Expect(written == size).To(Equal(ca.whole))
			if ca.whole {
				g.Expect(time.Since(begun)).To(BeNumerically(">", deadlineStep+co.timeout))
			}
		})
	}
}
