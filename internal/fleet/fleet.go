package fleet

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/daemon"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/pkg/kind"
)

// The bearer tokens that a started deployment accepts.
const (
	CallerToken   = "demo-caller"
	OperatorToken = "demo-operator"
)

// Zones are the availability zones of a started deployment.
var Zones = []string{"zilina-a", "zilina-b"}

const (
	// DefaultEngines is the default number of engines.
	DefaultEngines = 4
	// DefaultEntries is the default number of entry instances.
	DefaultEntries = 3

	engineMemoryTokens  = 60000
	engineSequences     = 256
	engineColdSequences = 4
	serviceSequences    = 64
	readyTimeout        = 10 * time.Second
	readyPoll           = 20 * time.Millisecond
)

// Options configures a deployment.
type Options struct {
	// Bin is the folder with the programs filbertstall and standin.
	Bin string
	// Dir is an existing folder that receives settings and logs.
	Dir string
	// Engines and Entries are the numbers of engines and entry instances. Zero
	// means DefaultEngines and DefaultEntries.
	Engines int
	Entries int
	// ColdSequences is the number of sequences that a cold engine can run,
	// according to the configuration. Zero means 4, the default of the stand-in.
	ColdSequences int
	// EngineArgs are appended to the command line of each engine.
	EngineArgs []string
	// WithoutContinuation declares in the configuration that engines cannot
	// continue a generation from a prefix.
	WithoutContinuation bool
	// FlushDelay is the setting limits.flush_delay of the entry instances.
	FlushDelay time.Duration
}

// Entry describes a running entry instance. Caller and Operator are the URLs of
// its listeners.
type Entry struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	PID      int    `json:"pid"`
}

// Endpoint describes a running stand-in for an engine or a plain service.
type Endpoint struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	URL     string `json:"url"`
	PID     int    `json:"pid"`
}

// Address is the URL and process ID of a stand-in, which it prints when it is
// ready.
type Address struct {
	URL string `json:"url"`
	PID int    `json:"pid"`
}

// TokenPair holds the bearer tokens of a deployment for callers and operators.
type TokenPair struct {
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
}

// Report describes a running deployment. Instances and endpoints that have stopped
// stay listed.
type Report struct {
	Entries   []Entry    `json:"entries"`
	Endpoints []Endpoint `json:"endpoints"`
	Platform  Address    `json:"platform"`
	Tokens    TokenPair  `json:"tokens"`
}

// Fleet is a running deployment.
type Fleet struct {
	Report Report
	// Processes has the running processes by the name of their instance or
	// endpoint. The stand-in of the platform has the name platform.
	Processes map[string]*Process

	op Options
	// key is the resume key that all entry instances share, in hex.
	key      string
	stopping atomic.Bool

	mu        sync.Mutex
	instances []platform.Instance
}

// Start starts a deployment and waits until every entry instance is ready. It
// stops all processes if it fails.
func Start(ctx context.Context, op Options) (*Fleet, error) {
	op.Engines = cmp.Or(op.Engines, DefaultEngines)
	op.ColdSequences = cmp.Or(op.ColdSequences, engineColdSequences)
	op.Entries = cmp.Or(op.Entries, DefaultEntries)
	var key [32]byte
	if _, err := rand.Read(key[:]); err != nil {
		return nil, err
	}
	fl := &Fleet{op: op, key: hex.EncodeToString(key[:]), Processes: make(map[string]*Process)}
	fl.Report.Tokens = TokenPair{Caller: CallerToken, Operator: OperatorToken}
	for _, step := range []func(context.Context) error{fl.startPlatform, fl.startEndpoints, fl.configure, fl.startEntries, fl.waitReady} {
		if err := step(ctx); err != nil {
			return nil, errors.Join(err, fl.Stop())
		}
	}
	return fl, nil
}

// Stop shuts down the entry instances gracefully and kills the stand-ins. It
// returns the first error of an entry instance.
func (fl *Fleet) Stop() error {
	fl.stopping.Store(true)
	var first error
	for _, en := range fl.Report.Entries {
		pr, running := fl.Processes[en.Name]
		if !running {
			continue
		}
		if err := pr.Terminate(); err != nil && first == nil {
			first = fmt.Errorf("stop %s: %w", en.Name, err)
		}
		delete(fl.Processes, en.Name)
	}
	for name, pr := range fl.Processes {
		pr.Kill()
		delete(fl.Processes, name)
	}
	return first
}

func (fl *Fleet) startStandin(ctx context.Context, name string, args ...string) (Address, error) {
	var ad Address
	pr, err := startProcess(ctx, fl.op.Dir, name, filepath.Join(fl.op.Bin, "standin"), append(args, "--name", name), &ad)
	if err != nil {
		return ad, err
	}
	fl.Processes[name] = pr
	return ad, nil
}

func (fl *Fleet) startPlatform(ctx context.Context) error {
	var err error
	fl.Report.Platform, err = fl.startStandin(ctx, "platform", "platform")
	return err
}

func (fl *Fleet) startEndpoints(ctx context.Context) error {
	for ix := range fl.op.Engines {
		name := "engine-" + strconv.Itoa(ix+1)
		args := append([]string{"engine", "--seed", strconv.Itoa(ix + 1)}, fl.op.EngineArgs...)
		if err := fl.startEndpoint(ctx, name, "filbert-pool", Zones[ix%len(Zones)], args); err != nil {
			return err
		}
	}
	for ix, service := range []string{"rental-desk", "ppa-settle"} {
		if err := fl.startEndpoint(ctx, service+"-1", service, Zones[ix%len(Zones)], []string{"service"}); err != nil {
			return err
		}
	}
	return nil
}

func (fl *Fleet) startEndpoint(ctx context.Context, name, service, zone string, args []string) error {
	ad, err := fl.startStandin(ctx, name, args...)
	if err != nil {
		return err
	}
	fl.Report.Endpoints = append(fl.Report.Endpoints, Endpoint{Name: name, Zone: zone, Service: service, URL: ad.URL, PID: ad.PID})
	return nil
}

// Document returns the initial configuration of the deployment.
func (fl *Fleet) Document() kind.Document {
	doc := kind.Document{
		Version: 1,
		Teams: []kind.Team{
			{Name: "demo", Weight: 1, Role: kind.RoleCaller, TokenHashes: []string{kind.HashToken(CallerToken)}},
			{Name: "operators", Weight: 1, Role: kind.RoleConfirm, TokenHashes: []string{kind.HashToken(OperatorToken)}},
		},
		Services: []kind.Service{
			{Name: "filbert-pool", Type: kind.ServiceModel, Model: "filbert"},
			{Name: "rental-desk", Type: kind.ServicePlain, Routes: []kind.Route{
				{Method: http.MethodPost, Path: "/loans"}, {Method: http.MethodGet, Path: "/catalogue/{id}", Idempotent: true},
			}},
			{Name: "ppa-settle", Type: kind.ServicePlain, Routes: []kind.Route{
				{Method: http.MethodPost, Path: "/invoices"}, {Method: http.MethodGet, Path: "/contracts/{id}", Idempotent: true},
			}},
		},
	}
	for _, zone := range Zones {
		doc.Zones = append(doc.Zones, kind.Zone{Name: zone, Region: "sk-central", State: kind.ZoneServing})
	}
	for _, en := range fl.Report.Endpoints {
		ke := en.kind(fl.op.ColdSequences)
		ke.Capabilities.Continuation = ke.Capabilities.Continuation && !fl.op.WithoutContinuation
		doc.Endpoints = append(doc.Endpoints, ke)
	}
	return doc
}

func (en Endpoint) kind(coldSequences int) kind.Endpoint {
	ke := kind.Endpoint{
		Name: en.Name, Service: en.Service, Zone: en.Zone, URL: en.URL, State: kind.EndpointServing,
		Capacity: kind.Capacity{Sequences: serviceSequences, ColdSequences: serviceSequences},
	}
	if en.Service == "filbert-pool" {
		ke.Capacity = kind.Capacity{MemoryTokens: engineMemoryTokens, Sequences: engineSequences, ColdSequences: coldSequences}
		ke.Capabilities = kind.Capabilities{ChecksFencing: true, Continuation: true, Priorities: true}
	}
	return ke
}

func (fl *Fleet) configure(ctx context.Context) error {
	cf, err := kind.NewConfiguration(fl.Document())
	if err != nil {
		return err
	}
	store := &platform.HTTPStore{URL: fl.Report.Platform.URL}
	_, err = configuration.Publish(ctx, store, 0, cf)
	return err
}

func (fl *Fleet) startEntries(ctx context.Context) error {
	for ix := range fl.op.Entries {
		if err := fl.StartEntry(ctx, "entry-"+strconv.Itoa(ix+1), Zones[ix%len(Zones)]); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts another entry instance and adds it to the platform's list of
// instances. It does not wait until the instance is ready for callers.
func (fl *Fleet) StartEntry(ctx context.Context, name, zone string) error {
	path := filepath.Join(fl.op.Dir, name+".hujson")
	if err := os.WriteFile(path, fl.settings(name, zone), 0o600); err != nil {
		return err
	}
	var re daemon.Report
	pr, err := startProcess(ctx, fl.op.Dir, name, filepath.Join(fl.op.Bin, "filbertstall"), []string{"serve", "--settings", path}, &re)
	if err != nil {
		return err
	}
	fl.Processes[name] = pr
	fl.Report.Entries = append(fl.Report.Entries, Entry{Name: name, Zone: zone, Caller: re.Caller, Operator: re.Operator, PID: re.PID})
	fl.mu.Lock()
	fl.instances = append(fl.instances, platform.Instance{Name: name, Zone: zone, State: platform.InstanceLive, Peer: re.Peer})
	fl.mu.Unlock()
	go fl.forgetOnExit(pr, name)
	return fl.publishInstances(ctx)
}

// forgetOnExit removes an entry instance from the platform's list of instances when
// its process exits, as the real platform does.
func (fl *Fleet) forgetOnExit(pr *Process, name string) {
	<-pr.done
	if err := fl.ForgetEntry(context.Background(), name); err != nil && !fl.stopping.Load() {
		fmt.Fprintf(os.Stderr, "fleet: %s stays on the platform's list: %v\n", name, err)
	}
}

// publishInstances sends the list of instances to the platform.
func (fl *Fleet) publishInstances(ctx context.Context) error {
	fl.mu.Lock()
	data, err := json.Marshal(fl.instances)
	fl.mu.Unlock()
	if err != nil {
		return err
	}
	return post(ctx, fl.Report.Platform.URL+"/instances", data)
}

// Kill kills the process of that name if it runs.
func (fl *Fleet) Kill(name string) {
	if pr, running := fl.Processes[name]; running {
		pr.Kill()
		delete(fl.Processes, name)
	}
}

// StopEntry marks an entry instance as leaving at the platform and shuts it down
// gracefully. It does nothing more if the process does not run.
func (fl *Fleet) StopEntry(ctx context.Context, name string) error {
	fl.mu.Lock()
	for ix := range fl.instances {
		if fl.instances[ix].Name == name {
			fl.instances[ix].State = platform.InstanceLeaving
		}
	}
	fl.mu.Unlock()
	if err := fl.publishInstances(ctx); err != nil {
		return err
	}
	pr, running := fl.Processes[name]
	if !running {
		return nil
	}
	delete(fl.Processes, name)
	return pr.Terminate()
}

// ForgetEntry removes an entry instance from the platform's list of instances.
func (fl *Fleet) ForgetEntry(ctx context.Context, name string) error {
	fl.mu.Lock()
	fl.instances = slices.DeleteFunc(fl.instances, func(it platform.Instance) bool { return it.Name == name })
	fl.mu.Unlock()
	return fl.publishInstances(ctx)
}

func (fl *Fleet) settings(name, zone string) []byte {
	return fmt.Appendf(nil, `{
	// Settings of a demonstration instance: any free port, no TLS.
	"name": %q,
	"zone": %q,
	"caller": {"listen": "127.0.0.1:0"},
	"operator": {"listen": "127.0.0.1:0"},
	"peer": {"listen": "127.0.0.1:0"},
	"platform": {"url": %q},
	"resume_key": %q,
	"allow_plaintext": true,
	"limits": {"flush_delay": %q},
}
`, name, zone, fl.Report.Platform.URL, fl.key, fl.op.FlushDelay)
}

func (fl *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, en := range fl.Report.Entries {
		for get(ctx, en.Caller+"/readyz") != nil {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready: %w", en.Name, ctx.Err())
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}
