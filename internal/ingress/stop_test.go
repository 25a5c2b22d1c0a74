package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A graceful shutdown lets requests in flight finish and asks callers to
// reconnect.
func TestStop(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	se, url := start(t, endpoint(t, func(conn net.Conn, id string) {
		<-release
		answer(conn, id)
	}))
	type result struct {
		resp *http.Response
		body string
	}
	got := make(chan result, 1)
	go func() {
		resp, body, _ := get(t, url+"/x")
		got <- result{resp, body}
	}()
	g.Eventually(se.InFlight, "5s").Should(Equal(1))
	se.AnnounceShutdown()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		se.Stop(ctx, ctx)
	}()
	close(release)
	var re result
	g.Eventually(got, "5s").Should(Receive(&re))
	g.Expect(re.body).To(Equal("body"))
	g.Expect(re.resp.Close).To(BeTrue())
	g.Eventually(stopped, "5s").Should(BeClosed())
	_, _, err := get(t, url+"/x")
	g.Expect(err).To(HaveOccurred())
}

// Callers keep using their open connections while the instance stops. Each request
// that reached the endpoint is answered completely.
func TestStopUnderLoad(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	ran := make(map[string]bool)
	se, url := start(t, endpoint(t, func(conn net.Conn, id string) {
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		time.Sleep(time.Duration(len(id)) * time.Millisecond)
		answer(conn, id)
	}))
	answered := make(map[string]bool)
	var wg sync.WaitGroup
	stopped := make(chan struct{})
	for client := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer hc.CloseIdleConnections()
			for ix := 0; ; ix++ {
				select {
				case <-stopped:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d", client, ix)
				re, _ := http.NewRequest(http.MethodPost, url+"/x", strings.NewReader("b"))
				re.GetBody = nil
				re.Header.Set("Id", id)
				resp, err := hc.Do(re)
				if err != nil {
					continue
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err == nil && (string(body) == "body" || resp.StatusCode != http.StatusOK) {
					mu.Lock()
					answered[id] = true
					mu.Unlock()
				}
			}
		}()
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(ran)
	}
	g.Eventually(count, "30s", "5ms").Should(BeNumerically(">", 100))
	se.AnnounceShutdown()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	se.Stop(ctx, ctx)
	close(stopped)
	wg.Wait()
	cut := 0
	for id := range ran {
		if !answered[id] {
			cut++
		}
	}
	g.Expect(len(ran)).To(BeNumerically(">", 100))
	g.Expect(cut).To(BeZero(), "of %d requests that ran", len(ran))
}
