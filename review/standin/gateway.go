package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// gateway is one process of the project, started as the deploy file says.
type gateway struct {
	re       *record
	name     string
	zone     string
	root     string
	settings string
	fields   map[string]any
	front    string
	ready    string
	log      *os.File

	// aside is set while the platform sends it no new channels.
	aside atomic.Bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// bounds are those of the smaller installations.
func bounds() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
		"config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
		"budget_window_s": 10, "budget_extra": 52, "cold_overage": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 12, "pass_ms": 120, "reuse_window_s": 4.6,
	}
}

// freePorts returns free ports of an address.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		ln, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// newGateway writes the settings of a gateway. number makes its loopback address.
func newGateway(re *record, root, dir string, number int, zone, store string) (*gateway, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 20+pid%200, 1+(pid/200)%250, number)
	ports, err := freePorts(ip, 5)
	if err != nil {
		return nil, err
	}
	gw := &gateway{re: re, name: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone, root: root}
	gw.front, gw.ready = ip+":"+strconv.Itoa(ports[0]), ip+":"+strconv.Itoa(ports[1])
	gw.settings = filepath.Join(dir, gw.name+".json")
	gw.fields = map[string]any{
		"node": gw.name, "role": "gateway", "machine_class": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "r",
		"zones":      map[string]string{"a": "r", "b": "r", "c": "r"},
		"listen":     map[string]string{"front": gw.front, "ready": gw.ready, "control": ip + ":" + strconv.Itoa(ports[2])},
		"port_range": []int{ports[3], ports[4]}, "seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"},
		"tolerate":  map[string]int{"machines": 2, "zones": 1, "regions": 0}, "bounds": bounds(),
		"platform": map[string]any{"address": store, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	if gw.log, err = os.Create(filepath.Join(dir, gw.name+".log")); err != nil {
		return nil, err
	}
	return gw, gw.writeSettings()
}

// writeSettings replaces the settings file.
func (gw *gateway) writeSettings() error {
	data, err := json.MarshalIndent(gw.fields, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(gw.settings+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(gw.settings+".new", gw.settings)
}

func (gw *gateway) start() error {
	gw.mu.Lock()
	defer gw.mu.Unlock()
	cmd := exec.Command(filepath.Join(gw.root, "target/filbertstall"), "gateway")
	cmd.Dir = gw.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "FILBERTSTALL_BOOT=" + gw.settings}
	cmd.Stdout, cmd.Stderr = gw.log, gw.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	gw.cmd, gw.done = cmd, done
	gw.re.logf("%s: started, callers at %s", gw.name, gw.front)
	go func() {
		err := cmd.Wait()
		gw.re.logf("%s: process ended: %v", gw.name, exitOf(cmd, err))
		close(done)
	}()
	return nil
}

func exitOf(cmd *exec.Cmd, err error) string {
	if err == nil {
		return "exit code 0"
	}
	return cmd.ProcessState.String()
}

// signal sends a signal to the process.
func (gw *gateway) signal(sig syscall.Signal) {
	gw.mu.Lock()
	cmd := gw.cmd
	gw.mu.Unlock()
	gw.re.logf("%s: %s", gw.name, map[syscall.Signal]string{syscall.SIGTERM: "SIGTERM", syscall.SIGHUP: "SIGHUP", syscall.SIGKILL: "SIGKILL", syscall.SIGSTOP: "SIGSTOP", syscall.SIGCONT: "SIGCONT"}[sig])
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(sig)
	}
}

// ended returns a channel that is closed when the process has ended.
func (gw *gateway) ended() <-chan struct{} {
	gw.mu.Lock()
	defer gw.mu.Unlock()
	return gw.done
}

// kill ends the process, if it runs.
func (gw *gateway) kill() {
	gw.mu.Lock()
	cmd, done := gw.cmd, gw.done
	gw.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-done:
	default:
		_ = cmd.Process.Kill()
		<-done
	}
}

// isReady asks for readiness as the platform does.
func (gw *gateway) isReady() bool {
	cl := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := cl.Get("http://" + gw.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the gateway is ready.
func (gw *gateway) awaitReady(timeout time.Duration) error {
	for begun := time.Now(); time.Since(begun) < timeout; time.Sleep(50 * time.Millisecond) {
		if gw.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s: not ready after %s", gw.name, timeout)
}

// takesCallers reports whether the platform sends new channels to it.
func (gw *gateway) takesCallers() bool { return !gw.aside.Load() }
