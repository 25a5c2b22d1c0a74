package main

import (
	"fmt"
	"os"
	"time"
)

// The names of the deployment that the cases use.
const (
	host         = "desk.example"
	key          = "xd9dnn2ctnfzs989anu6"
	poolService  = "pool"
	deskService  = "desk"
	readyTimeout = 20 * time.Second
)

// deployment is a small deployment: a store, gateways and replicas.
type deployment struct {
	dir      string
	record   *record
	store    *store
	gateways []*gateway
	replicas []*replicaProcess
}

// newDeployment starts the store with a configuration. It must be closed.
func newDeployment(rc *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	de := &deployment{dir: dir, record: rc}
	if de.store, err = startStore(loopback(1)); err != nil {
		return nil, err
	}
	de.store.put("config", "main", configuration(1))
	return de, nil
}

// configuration returns the operator's configuration.
func configuration(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": 1800, "target_gap_ms": 180, "priority": 1,
			"service": service, "max_attempts": 2, "public": false, "sticky": kind == "streaming", "resumable": kind == "streaming",
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("guide", "/stream/", "streaming", poolService, 39000), route("book", "/book/", "non_idempotent", deskService, 8000), route("read", "/read/", "idempotent", deskService, 8000),
		},
		"services": []any{
			map[string]any{"name": poolService, "health_path": "/healthz", "max_conns": 232, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0, "engine": map[string]any{
				"slots": 24, "kv_capacity": 34278, "kv_token_bytes": 163840, "link_mbps": 24000, "moves": true, "backups": true, "stride": 4, "most": 12,
				"pin_ms": 4000, "hold_ms": 2000, "handle_s": 5, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": deskService, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "team-1", "api_keys": []string{key}, "priority": 1}},
	}
}

// addReplica starts a replica with the settings of a case.
func (de *deployment) addReplica(se replicaSettings) (*replicaProcess, error) {
	address, err := freePort(loopback(100 + len(de.replicas)))
	if err != nil {
		return nil, err
	}
	se.Address = address
	if se.ID == "" {
		se.ID = fmt.Sprintf("i-%d", len(de.replicas)+1)
	}
	if se.Zone == "" {
		se.Zone = "zone-a"
	}
	if se.Slots == 0 {
		se.Slots = 24
	}
	rp, err := startReplica(de.store, de.record, se)
	if err != nil {
		return nil, err
	}
	de.replicas = append(de.replicas, rp)
	return rp, nil
}

// addGateway starts an instance and waits until it is ready.
func (de *deployment) addGateway(zone string) (*gateway, error) {
	number := len(de.gateways) + 1
	gw, err := startGateway(de.dir, fmt.Sprintf("edge-%d", number), loopback(1+number), zone, de.store.address)
	if err != nil {
		return nil, err
	}
	de.gateways = append(de.gateways, gw)
	return gw, gw.awaitReady(readyTimeout)
}

// close ends all processes.
func (de *deployment) close() {
	for _, gw := range de.gateways {
		gw.stop()
	}
	for _, rp := range de.replicas {
		rp.stop()
	}
	_ = os.RemoveAll(de.dir)
}

// streamRequest returns a request for a stream.
func streamRequest(id, fields string) string {
	const body = "{}"
	return fmt.Sprintf("POST /stream/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Usage: 1000,800\r\nPrompt-Prefix: 5c1e07a2:800,%s:200\r\nDeadline-Ms: 20000\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		host, id, id, key, fields, len(body), body)
}
