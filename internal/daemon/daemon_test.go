package daemon_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/daemon"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/setting"
	"filbertstall.example/filbertstall/internal/standin"
	"filbertstall.example/filbertstall/pkg/kind"
)

const (
	leaseKey = "lease/allocator/zilina-a/desk"
	// patience is how long a step may take; it is far below stopTimeout.
	patience    = 10 * time.Second
	stopTimeout = time.Minute
)

// heldPlatform holds back the releases of leases until proceed is closed.
type heldPlatform struct {
	*standin.Platform
	begun, proceed chan struct{}
}

func (hp *heldPlatform) Serve(ctx *fasthttp.RequestCtx) {
	if ctx.IsPut() && strings.Contains(string(ctx.PostBody()), `"holder":""`) {
		select {
		case hp.begun <- struct{}{}:
		default:
		}
		<-hp.proceed
	}
	hp.Platform.Serve(ctx)
}

func settings(url string) setting.Settings {
	se := setting.Default()
	listener := setting.Listener{Listen: "127.0.0.1:0"}
	se.Name, se.Zone, se.Caller, se.Operator, se.Peer = "entry-1", "zilina-a", listener, listener, listener
	se.Platform.URL, se.AllowPlaintext, se.Limits.StopTimeout = url, true, setting.Duration(stopTimeout)
	return se
}

func status(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// Guards against an instance that stops and takes requests for the whole stop
// timeout, at whose end it cuts them, because the store does not answer the
// release of its leases.
func TestStopTakesNoRequestsWhileStoreIsSilent(t *testing.T) {
	gm := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	gm.Expect(err).NotTo(HaveOccurred())
	hp := &heldPlatform{Platform: standin.NewPlatform(0), begun: make(chan struct{}, 1), proceed: make(chan struct{})}
	go func() { _ = standin.Serve(ln, hp) }()
	defer func() { _ = ln.Close() }()
	url := "http://" + ln.Addr().String()
	cf, err := kind.NewConfiguration(kind.Document{
		Version: 1, Zones: []kind.Zone{{Name: "zilina-a", Region: "sk-central", State: kind.ZoneServing}},
		Services:  []kind.Service{{Name: "desk", Type: kind.ServicePlain}},
		Endpoints: []kind.Endpoint{{Name: "desk-1", Service: "desk", Zone: "zilina-a", URL: url, State: kind.EndpointServing, Capacity: kind.Capacity{Sequences: 4, ColdSequences: 4}}},
	})
	gm.Expect(err).NotTo(HaveOccurred())
	store := &platform.HTTPStore{URL: url}
	_, err = configuration.Publish(t.Context(), store, 0, cf)
	gm.Expect(err).NotTo(HaveOccurred())

	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	reports, ended := make(chan daemon.Report, 1), make(chan error, 1)
	da := &daemon.Daemon{Settings: settings(url), Log: zerolog.Nop(), Clock: clockwork.NewRealClock(), Ready: func(re daemon.Report) { reports <- re }}
	go func() { ended <- da.Run(ctx) }()
	re := <-reports
	announce, err := http.Post(url+"/instances", "application/json", strings.NewReader(`[{"name": "entry-1", "zone": "zilina-a", "state": "live", "peer": "`+re.Peer+`"}]`))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(announce.Body.Close()).To(Succeed())
	gm.Eventually(func() int { return status(re.Caller + "/readyz") }, patience).Should(Equal(http.StatusOK))
	gm.Eventually(func() error {
		_, err := store.Get(t.Context(), leaseKey)
		return err
	}, patience).Should(Succeed())

	stop()
	<-hp.begun
	gm.Eventually(func() int { return status(re.Caller + "/readyz") }, patience).ShouldNot(Equal(http.StatusOK))
	close(hp.proceed)
	gm.Eventually(ended, patience).Should(Receive(BeNil()))
}
