package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of the small sites.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
	"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": true,
	"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 52, "cold_overage": 1.5, "cold_slack": 5,
	"evacuate_ms": 5000, "recover_s": 12, "pass_ms": 120, "reuse_window_s": 4.6,
}

const (
	contact = 3 * time.Second
	drain   = 2 * time.Second
	// memoryMB is the memory of a machine.
	memoryMB = 134
)

var zones = []string{"zilina-a", "zilina-b", "martin-c"}

// machine is an instance of the system.
type machine struct {
	name, zone, ip   string
	front, ready     string
	command          *exec.Cmd
	settings, output string
	ended            chan struct{}

	mu      sync.Mutex
	isReady bool
}

var (
	allMu sync.Mutex
	all   []*machine
	temp  string
)

// prepare makes the temporary folder and ends all processes if this one is told to stop.
func prepare() {
	var err error
	if temp, err = os.MkdirTemp("", "review-2-"); err != nil {
		fail("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		stopAll()
		os.Exit(exitNotToRun)
	}()
}

// stopAll ends all processes that this one started and removes the temporary folder.
func stopAll() {
	allMu.Lock()
	list := all
	all = nil
	allMu.Unlock()
	for _, ma := range list {
		ma.kill()
	}
	if temp != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(temp)
	}
}

// network returns the first three numbers of a loopback network that is free.
func network() string {
	for range 50 {
		net3 := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
		ln, err := net.Listen("tcp4", net3+"1:9464")
		if err == nil {
			_ = ln.Close()
			return net3
		}
	}
	fail("no free loopback network")
	return ""
}

func newMachine(net3 string, number int, zone string, memoryMB int, storeAddress string) *machine {
	ma := &machine{name: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone, ip: fmt.Sprintf("%s%d", net3, number)}
	ma.front, ma.ready = ma.ip+":8740", ma.ip+":8749"
	ma.settings, ma.output = filepath.Join(temp, ma.name+".json"), filepath.Join(temp, ma.name+".log")
	zoneRegions := map[string]string{}
	for _, zo := range zones {
		zoneRegions[zo] = "sk-central"
	}
	data, _ := json.MarshalIndent(map[string]any{
		"node": ma.name, "role": "gateway", "machine_class": "edge", "serves": []string{"edge"}, "ip": ma.ip, "zone": zone, "region": "sk-central",
		"zones": zoneRegions, "listen": map[string]string{"front": ma.front, "ready": ma.ready}, "port_range": []int{7200, 7215}, "seeds": []string{},
		"bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"},
		"tolerate":  map[string]int{"machines": 2, "zones": 1, "regions": 0}, "bounds": bounds,
		"platform": map[string]any{"address": storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": valueBytes, "ttl_min_ms": 1000},
	}, "", "  ")
	if err := os.WriteFile(ma.settings, data, 0o600); err != nil {
		fail("%v", err)
	}
	return ma
}

// start starts the process with the command of the deploy file.
func (ma *machine) start() {
	out, err := os.OpenFile(ma.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	ma.command = exec.Command("target/filbertstall", "gateway")
	ma.command.Env = append(os.Environ(), "FILBERTSTALL_BOOT="+ma.settings)
	ma.command.Stdout, ma.command.Stderr = out, out
	if err := ma.command.Start(); err != nil {
		fail("start: %v", err)
	}
	allMu.Lock()
	all = append(all, ma)
	allMu.Unlock()
	ended, command := make(chan struct{}), ma.command
	ma.ended = ended
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(ended)
	}()
}

func (ma *machine) signal(sig syscall.Signal) { _ = ma.command.Process.Signal(sig) }

func (ma *machine) kill() {
	ma.signal(syscall.SIGKILL)
	<-ma.ended
}

func (ma *machine) hasEnded() bool {
	select {
	case <-ma.ended:
		return true
	default:
		return false
	}
}

// watchReady asks the machine each second whether it is ready; two misses take it out.
func (ma *machine) watchReady(rc *record) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for {
		rs, err := client.Get("http://" + ma.ready + "/v1/ready")
		ok := err == nil && rs.StatusCode == 200
		if err == nil {
			_ = rs.Body.Close()
		}
		if misses++; ok {
			misses = 0
		}
		ma.mu.Lock()
		was := ma.isReady
		ma.isReady = ok || was && misses < 2
		if was != ma.isReady {
			rc.line("%s ready: %v", ma.name, ma.isReady)
		}
		ma.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (ma *machine) takesClients() bool {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	return ma.isReady
}

// awaitReady waits until all machines are ready.
func awaitReady(list []*machine, timeout time.Duration) {
	for begun := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		count := 0
		for _, ma := range list {
			if ma.takesClients() {
				count++
			}
		}
		if count == len(list) {
			return
		}
		if time.Since(begun) > timeout {
			fail("only %d of %d machines are ready", count, len(list))
		}
	}
}

const (
	host = "ficu95.example"
	key  = "xd9dnn2ctnfzs989anu6"
)

// configuration returns the operator's configuration with two plain routes.
func configuration() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 800, "target_latency_ms": 300, "priority": 2,
			"service": "rental-desk", "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("r-booking", "/loan/", "non_idempotent", 1), route("r-lookup", "/catalogue/", "idempotent", 2)},
		"services": []any{map[string]any{"name": "rental-desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "huka270", "api_keys": []string{key}, "priority": 1}},
	}
}

// withEngines adds a route for streams, and its service of model replicas, to a configuration.
func withEngines(cf map[string]any) map[string]any {
	cf["routes"] = append(cf["routes"].([]any), map[string]any{
		"name": "r-guide", "host": host, "path_prefix": guidePrefix, "kind": "streaming", "timeout_ms": 39000, "target_latency_ms": 1800, "priority": 1,
		"service": "filbert-pool", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "target_gap_ms": 180,
	})
	cf["services"] = append(cf["services"].([]any), map[string]any{
		"name": "filbert-pool", "health_path": "/healthz", "max_conns": 232, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
		"engine": map[string]any{
			"slots": 24, "kv_capacity": 34278, "kv_token_bytes": 163840, "link_mbps": 24000.0, "moves": false, "backups": false, "stride": 4, "most": 12,
			"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	})
	return cf
}

// grep returns the lines of the machine's log that have a text.
func (ma *machine) grep(text string) []string {
	data, _ := os.ReadFile(ma.output)
	var list []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			list = append(list, line)
		}
	}
	return list
}

func listen(address string) net.Listener {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		fail("listen: %v", err)
	}
	return ln
}

// startMachines starts a number of machines, in the zones in turn, and waits until they are ready.
func startMachines(rc *record, net3 string, count int, storeAddress string) []*machine {
	var machines []*machine
	for ix := range count {
		ma := newMachine(net3, ix+1, zones[ix%len(zones)], memoryMB, storeAddress)
		ma.start()
		go ma.watchReady(rc)
		machines = append(machines, ma)
	}
	awaitReady(machines, 20*time.Second)
	return machines
}
