// Command standin plays the cases of the review: it starts gateways of the project, with
// stand-ins for the platform's store, the replicas and the clients, all on loopback
// addresses, and writes what it saw to record.txt.
//
//	standin CASE ROOT DIRECTORY
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// stage is what a case has to play on.
type stage struct {
	*record
	root, temp string
	// trouble is unset in the run without the disruption.
	trouble  bool
	st       *store
	rs       *runs
	gateways []*gateway
}

var cases = map[string]func(*stage) error{}

// latest is when a case is given up.
const latest = 115 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT DIRECTORY")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, dir string) int {
	run, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	re, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	sg := &stage{record: re, root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", rs: newRuns()}
	defer func() {
		for _, gw := range sg.gateways {
			gw.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(temp)
		} else {
			fmt.Println("kept", temp)
		}
	}()
	re.logf("case %s, trouble %v", name, sg.trouble)
	if sg.st, err = newStore(re); err != nil {
		re.logf("could not run: %v", err)
		return 2
	}
	result := make(chan error, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { result <- run(sg) }()
	select {
	case err = <-result:
	case <-time.After(latest):
		err = errors.New("took too long")
	case <-signals:
		err = errors.New("interrupted")
	}
	switch {
	case err == nil:
		re.logf("result: the rule held")
		fmt.Println("held")
		return 0
	case errors.Is(err, errBroken):
		re.logf("result: %v", err)
		fmt.Println(err)
		return 1
	default:
		re.logf("result: the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
}

// configuration returns the operator's configuration. Each key belongs to a tenant of its
// own.
func configuration(version int, keys ...string) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target, "priority": 1,
			"service": service, "max_attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": false, "target_gap_ms": 180,
		}
	}
	tenants := []any{}
	for ix, key := range keys {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant%d", ix), "api_keys": []string{key}})
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-guide", "/guide/", "streaming", "pool", 39000, 1800, 1),
			route("r-book", "/book/", "non_idempotent", "desk", 8000, 300, 1),
			route("r-look", "/look/", "idempotent", "desk", 1500, 300, 2),
		},
		"services": []any{
			map[string]any{"name": "pool", "health_path": "/healthz", "max_conns": 232, "protocol": "h1", "tls": false, "cold_start_s": 1.0, "cold_per_s": 36.0, "engine": map[string]any{
				"slots": 24, "kv_capacity": 34278, "kv_token_bytes": 163840, "link_mbps": 24000.0, "moves": true, "backups": true, "stride": 4, "most": 12,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

// addReplica starts a replica and registers it.
func (sg *stage) addReplica(rp *replica) (*replica, error) {
	rp.re, rp.rs = sg.record, sg.rs
	if err := rp.start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	sg.logf("replica %s of %s in zone %s at %s", rp.id, rp.service, rp.zone, rp.address())
	sg.putReplica(rp)
	return rp, nil
}

// putReplica writes a replica's entry.
func (sg *stage) putReplica(rp *replica) {
	entry := rp.entry(0)
	if rp.slots > 0 {
		entry["slots"] = rp.slots
	}
	sg.st.put("servers", rp.id, entry)
}

// addGateway starts a gateway.
func (sg *stage) addGateway(zone string) (*gateway, error) {
	gw, err := newGateway(sg.record, sg.root, sg.temp, len(sg.gateways)+1, zone, sg.st.address())
	if err != nil {
		return nil, err
	}
	sg.gateways = append(sg.gateways, gw)
	return gw, gw.start()
}
