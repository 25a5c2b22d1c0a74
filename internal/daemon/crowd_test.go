package daemon_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/daemon"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/standin"
	"filbertstall.example/filbertstall/pkg/kind"
)

// Run by make crowd, apart from other load.
var crowd = flag.Bool("crowd", false, "run the tests with crowds of clients that do not behave")

const (
	// crowdMemoryMB is the memory of the machine of the instance, limits.memory_mb.
	crowdMemoryMB = 64
	// crowdDescriptors is the limit of open descriptors of the process, and
	// fewDescriptors that in cases with more connections than descriptors.
	crowdDescriptors = 8192
	fewDescriptors   = 512
	// crowdBody is limits.body_bytes of the instance.
	crowdBody = 4 << 20
	// crowdSendTime bounds how long a crowd sends.
	crowdSendTime = 10 * time.Second
	// crowdHoldTime is how long the crowd stays before the ordinary request.
	crowdHoldTime = time.Second
	// answerTimeout bounds one ordinary request.
	answerTimeout = 30 * time.Second
	callerToken   = "a caller"
)

// desk answers every call at once.
type desk struct{}

func (desk) serve(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("lent\n") }

// served is a filbertstall process that serves callers.
type served struct {
	cmd    *exec.Cmd
	exited chan struct{}
	report daemon.Report
	// peak is the largest anonymous memory of the process that was seen, in bytes, and
	// descriptors the largest number of open descriptors.
	peak, descriptors atomic.Int64
}

func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "filbertstall")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/filbertstall").CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	return program
}

// startServed starts a process with a platform and an endpoint that run in the test,
// and waits until it answers.
func startServed(t *testing.T, program string, descriptors int) *served {
	t.Helper()
	gm := NewWithT(t)
	dir := t.TempDir()
	store, endpoint := listenLoopback(t), listenLoopback(t)
	go func() { _ = standin.Serve(store, standin.NewPlatform(0)) }()
	go func() { _ = fasthttp.Serve(endpoint, desk{}.serve) }()
	url := "http://" + store.Addr().String()
	cf, err := kind.NewConfiguration(kind.Document{
		Version: 1, Zones: []kind.Zone{{Name: "zilina-a", Region: "sk-central", State: kind.ZoneServing}},
		Teams:     []kind.Team{{Name: "team", Weight: 1, Role: kind.RoleCaller, TokenHashes: []string{kind.HashToken(callerToken)}}},
		Services:  []kind.Service{{Name: "desk", Type: kind.ServicePlain, Routes: []kind.Route{{Method: http.MethodPost, Path: "/loans"}}}},
		Endpoints: []kind.Endpoint{{Name: "desk-1", Service: "desk", Zone: "zilina-a", URL: "http://" + endpoint.Addr().String(), State: kind.EndpointServing, Capacity: kind.Capacity{Sequences: 4, ColdSequences: 4}}},
	})
	gm.Expect(err).NotTo(HaveOccurred())
	_, err = configuration.Publish(t.Context(), &platform.HTTPStore{URL: url}, 0, cf)
	gm.Expect(err).NotTo(HaveOccurred())
	settings := filepath.Join(dir, "entry.hujson")
	gm.Expect(os.WriteFile(settings, fmt.Appendf(nil, `{
		"name": "entry-1", "zone": "zilina-a", "resume_key": %q, "allow_plaintext": true, "platform": {"url": %q},
		"caller": {"listen": "127.0.0.1:0"}, "operator": {"listen": "127.0.0.1:0"}, "peer": {"listen": "127.0.0.1:0"},
		"limits": {"memory_mb": %d, "body_bytes": %d}, "log": {"level": "warn"},
	}`, strings.Repeat("0a", 32), url, crowdMemoryMB, crowdBody), 0o600)).To(Succeed())
	sd := &served{exited: make(chan struct{})}
	sd.start(t, program, settings, descriptors)
	announce, err := http.Post(url+"/instances", "application/json", strings.NewReader(`[{"name": "entry-1", "zone": "zilina-a", "state": "live", "peer": "`+sd.report.Peer+`"}]`))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(announce.Body.Close()).To(Succeed())
	gm.Eventually(func() error { return sd.book(100) }, patience).Should(Succeed())
	return sd
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// start runs the program with a limit of descriptors until the test ends.
func (sd *served) start(t *testing.T, program, settings string, descriptors int) {
	t.Helper()
	gm := NewWithT(t)
	limit := fmt.Sprintf("ulimit -n %d; exec \"$0\" serve --settings \"$1\"", descriptors)
	sd.cmd = exec.Command("sh", "-c", limit, program, settings)
	log, err := os.Create(filepath.Join(filepath.Dir(settings), "log"))
	gm.Expect(err).NotTo(HaveOccurred())
	sd.cmd.Stderr = log
	out, err := sd.cmd.StdoutPipe()
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(sd.cmd.Start()).To(Succeed())
	line, err := bufio.NewReader(out).ReadBytes('\n')
	gm.Expect(err).NotTo(HaveOccurred())
	go func() {
		defer close(sd.exited)
		_ = sd.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = sd.cmd.Process.Signal(syscall.SIGKILL)
		<-sd.exited
		_ = log.Close()
		if data, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("last log lines:\n%s", data[max(0, len(data)-2000):])
		}
	})
	gm.Expect(json.Unmarshal(line, &sd.report)).To(Succeed())
}

// book sends one ordinary request with a body of some bytes on a new connection.
func (sd *served) book(size int) error {
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	re, err := http.NewRequest(http.MethodPost, sd.report.Caller+"/services/desk/loans", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return err
	}
	re.Header.Set("Authorization", "Bearer "+callerToken)
	resp, err := client.Do(re)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return err
}

// watch samples the process until done is closed.
func (sd *served) watch(done <-chan struct{}) {
	pid := strconv.Itoa(sd.cmd.Process.Pid)
	for {
		sd.peak.Store(max(sd.peak.Load(), residentBytes(pid)))
		list, _ := os.ReadDir("/proc/" + pid + "/fd")
		sd.descriptors.Store(max(sd.descriptors.Load(), int64(len(list))))
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// residentBytes returns the anonymous memory of a process, in bytes.
func residentBytes(pid string) int64 {
	data, err := os.ReadFile("/proc/" + pid + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// send opens the connections of a crowd, sends on all of them at the same time what
// write writes, and waits until each has been written, refused or cut off. The
// connections stay open until the test ends.
func (cc crowdCase) send(t *testing.T, address string) {
	t.Helper()
	var senders sync.WaitGroup
	for range cc.count {
		conn, err := net.DialTimeout("tcp4", address, patience)
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = conn.Close() })
		senders.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(crowdSendTime))
			_ = cc.write(conn)
		})
	}
	senders.Wait()
	time.Sleep(crowdHoldTime)
}

func testCrowd(t *testing.T, address func(daemon.Report) string, cases []crowdCase) {
	if !*crowd {
		t.Skip("run by make crowd, apart from other load")
	}
	program := buildProgram(t)
	for _, cc := range cases {
		t.Run(cc.name, func(t *testing.T) {
			gm := NewWithT(t)
			sd := startServed(t, program, cc.descriptors)
			gm.Expect(sd.book(crowdBody)).To(Succeed(), "a request inside the limits, in calm")
			done := make(chan struct{})
			var watcher sync.WaitGroup
			watcher.Go(func() { sd.watch(done) })
			cc.send(t, address(sd.report))
			answer := sd.book(100)
			close(done)
			watcher.Wait()
			t.Logf("peak %d MB, %d descriptors, answer: %v", sd.peak.Load()>>20, sd.descriptors.Load(), answer)
			gm.Expect(sd.exited).NotTo(BeClosed(), "the process lives")
			gm.Expect(answer).NotTo(HaveOccurred(), "an ordinary request while the crowd stays")
			gm.Expect(sd.peak.Load()).To(BeNumerically("<", crowdMemoryMB<<20))
			gm.Expect(sd.descriptors.Load()).To(BeNumerically("<", cc.descriptors))
		})
	}
}

// Clients that did not behave ended a process or took its descriptors, so that ordinary
// callers got no answer.
func TestCrowdOfCallers(t *testing.T) {
	address := func(re daemon.Report) string { return strings.TrimPrefix(re.Caller, "http://") }
	testCrowd(t, address, httpCrowds("POST /services/desk/loans HTTP/1.1\r\nHost: desk\r\nAuthorization: Bearer "+callerToken+"\r\n", callerHeadBytes))
}

// The listener of operators takes the same bytes from the same network.
func TestCrowdOfOperators(t *testing.T) {
	address := func(re daemon.Report) string { return strings.TrimPrefix(re.Operator, "http://") }
	testCrowd(t, address, httpCrowds("POST /plans HTTP/1.1\r\nHost: operator\r\n", operatorHeadBytes))
}

// Messages without end, or that stopped before their end, took all memory, and
// connections without a message all descriptors.
func TestCrowdOfPeers(t *testing.T) {
	testCrowd(t, func(re daemon.Report) string { return re.Peer }, peerCrowds())
}
