package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"filbertstall.example/filbertstall/internal/buffer"
	"filbertstall.example/filbertstall/internal/entry"
	"filbertstall.example/filbertstall/internal/filter"
	"filbertstall.example/filbertstall/internal/intake"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

const patience = 10 * time.Second

// startIntake starts a server with limits for what arrives. Its handlers answer with the
// length of the body.
func startIntake(t *testing.T, memory *buffer.Budget, li *intake.Limiter) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	cf, err := kind.NewConfiguration(kind.Document{Version: 1, Teams: []kind.Team{
		{Name: "desk", Weight: 1, Role: kind.RoleCaller, TokenHashes: []string{kind.HashToken("good")}},
	}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	holder := &snapshot.Holder[kind.Configuration]{}
	holder.Store(cf)
	answer := func(ex *filter.Exchange) error {
		_, err := fmt.Fprint(ex.HTTP, len(ex.Body))
		return err
	}
	se := &entry.Server{
		Listener: ln, Configuration: holder, CreateGeneration: answer, ResumeGeneration: answer, Call: answer,
		Scope: tally.NoopScope, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
		BodyBytes: 1 << 20, Memory: memory, Intake: li, Timeout: time.Minute, MaxTimeout: time.Hour,
	}
	go func() { _ = se.Run(t.Context()) }()
	return ln.Addr().String()
}

func post(t *testing.T, address string, size int) int {
	t.Helper()
	re, err := http.NewRequest(http.MethodPost, "http://"+address+"/services/desk/loans", strings.NewReader(strings.Repeat("a", size)))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	re.Header.Set("Authorization", "Bearer good")
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(re)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// Bodies that never ended took all memory. They now take a part of it that is counted, and
// give it back when their connection ends.
func TestBodiesThatStopLeaveRoomForSmallOnes(t *testing.T) {
	g := NewWithT(t)
	memory := &buffer.Budget{Bytes: 256 << 10}
	address := startIntake(t, memory, nil)
	var conns []net.Conn
	for range 10 {
		conn, err := net.Dial("tcp4", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
		_, err = fmt.Fprintf(conn, "POST /services/desk/loans HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer good\r\nContent-Length: %d\r\n\r\n%s", 100_000, strings.Repeat("a", 99_999))
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(memory.Used, patience).Should(BeNumerically(">", 99_999), "one body has its memory")
	}
	g.Expect(post(t, address, 1_000)).To(Equal(http.StatusOK))
	g.Expect(post(t, address, 100_000)).To(Equal(http.StatusTooManyRequests))
	g.Expect(memory.Used()).To(BeNumerically("<=", memory.Bytes))
	for _, conn := range conns {
		_ = conn.Close()
	}
	g.Eventually(memory.Used, patience).Should(BeZero())
	g.Expect(post(t, address, 50_000)).To(Equal(http.StatusOK))
	g.Eventually(memory.Used, patience).Should(BeZero())
}

// A head that stopped kept its connection for ever.
func TestHeadThatStopsIsClosed(t *testing.T) {
	g := NewWithT(t)
	causes := make(chan intake.Cause, 1)
	address := startIntake(t, nil, &intake.Limiter{
		HeadTimeout: func() time.Duration { return 50 * time.Millisecond }, OnClose: func(ca intake.Cause) { causes <- ca },
	})
	conn, err := net.Dial("tcp4", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST /services/desk/loans HTTP/1.1\r\nHost: a\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(causes, patience).Should(Receive(Equal(intake.HeadTimeout)))
}

// A refusal before the body was read must reach a caller that is still sending.
func TestRefusalOfUnreadBodyIsRead(t *testing.T) {
	g := NewWithT(t)
	address := startIntake(t, &buffer.Budget{Bytes: 1 << 20}, nil)
	re, err := http.NewRequest(http.MethodPost, "http://"+address+"/services/desk/loans", strings.NewReader(strings.Repeat("a", 1<<20)))
	g.Expect(err).NotTo(HaveOccurred())
	re.Header.Set("Authorization", "Bearer wrong")
	for range 20 {
		re.Body, err = re.GetBody()
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(re)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
		g.Expect(resp.Body.Close()).To(Succeed())
	}
}
