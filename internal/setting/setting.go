package setting

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"time"
)

// Settings is the content of a settings file.
type Settings struct {
	// Name is the name of the instance, unique in the deployment, 1 to 63 bytes.
	Name string `json:"name"`
	// Zone is the availability zone that the instance runs in.
	Zone string `json:"zone"`
	// Caller, Operator and Peer are the listeners for callers, for operators and
	// for other instances.
	Caller   Listener `json:"caller"`
	Operator Listener `json:"operator"`
	Peer     Listener `json:"peer"`
	Platform Platform `json:"platform"`
	// Peers are the addresses of peer listeners of other instances. If the
	// platform does not answer at start-up, the instance asks them for the
	// membership and the configuration.
	Peers []string `json:"peers"`
	// ResumeKey signs resume tokens. It has 64 hex digits and must be the same on
	// all instances.
	ResumeKey string `json:"resume_key"`
	// AllowPlaintext permits listeners without TLS.
	AllowPlaintext bool   `json:"allow_plaintext"`
	Limits         Limits `json:"limits"`
	Log            Log    `json:"log"`
}

// Listener is an address to listen on, with its certificate.
type Listener struct {
	// Listen is an IP address and port. Port 0 selects any free port.
	Listen string `json:"listen"`
	TLS    TLS    `json:"tls"`
}

// Scheme returns the scheme of the listener's URLs with "://" at its end.
func (li Listener) Scheme() string {
	if li.TLS.Enabled() {
		return "https://"
	}
	return "http://"
}

// TLS names the certificate files of a listener. The files are reloaded when
// they change.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile holds the certificate authorities that sign client certificates. It
	// is used for mutual TLS only.
	CAFile string `json:"ca_file"`
}

// Enabled reports whether a certificate file is configured.
func (tl TLS) Enabled() bool { return tl.CertFile != "" }

// Platform configures the access to the object API of the platform.
type Platform struct {
	// URL is the base address, for example "http://10.0.0.1:7000".
	URL string `json:"url"`
}

// Log configures logging.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level"`
}

// Limits holds the limits and timeouts of one instance.
type Limits struct {
	// MemoryMB is the memory that the process may use, in megabytes (2^20 bytes). Zero
	// means that it is not known.
	MemoryMB int `json:"memory_mb"`
	// BodyBytes is the maximum size of a request body.
	BodyBytes int `json:"body_bytes"`
	// Timeout applies to requests that state none.
	Timeout Duration `json:"timeout"`
	// MaxTimeout is the longest timeout that a request may state.
	MaxTimeout Duration `json:"max_timeout"`
	// IdleTimeout is how long a stream from an endpoint may make no progress.
	IdleTimeout Duration `json:"idle_timeout"`
	// RecordRetention is how long the outcome of a call with an idempotency key
	// is stored.
	RecordRetention Duration `json:"record_retention"`
	// FlushDelay is how long tokens of a stream are buffered before they are sent
	// together. Buffering saves CPU time and increases the time between tokens.
	FlushDelay Duration `json:"flush_delay"`
	// StopTimeout limits the graceful shutdown: it is how long open responses may
	// continue after SIGTERM.
	StopTimeout Duration `json:"stop_timeout"`
}

// heapShare is the share of the memory of the process above which the garbage
// collector runs more often instead of letting the heap double.
const heapShare = 0.7

// MemoryBytes returns the memory that the process may use, in bytes, or 0 if it is not
// known.
func (li Limits) MemoryBytes() int64 { return int64(li.MemoryMB) << 20 }

// HeapLimit returns the memory that the Go runtime may use, in bytes, or 0 if the memory
// of the process is not known.
func (li Limits) HeapLimit() int64 { return int64(heapShare * float64(li.MemoryBytes())) }

// Duration is a time.Duration that is encoded as text, for example "1m30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (du *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*du = Duration(parsed)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (du Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(du).String()), nil }

const (
	defaultBodyBytes   = 4 << 20
	defaultTimeout     = 10 * time.Minute
	defaultMaxTimeout  = time.Hour
	defaultIdleTimeout = 5 * time.Second
	defaultStopTimeout = 30 * time.Second
	defaultRetention   = 24 * time.Hour
	maxFlushDelay      = Duration(time.Second)
	// minMemoryMB is the smallest memory of a process that an instance runs in.
	minMemoryMB = 64
	// minMemoryBodies is how many of the largest bodies the memory must hold. A quarter of it
	// is for bodies, of which one alone may have half, and which is copied once.
	minMemoryBodies = 16
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Default returns the values of settings that the file does not set.
func Default() Settings {
	return Settings{
		Log: Log{Level: "info"},
		Limits: Limits{
			BodyBytes: defaultBodyBytes, Timeout: Duration(defaultTimeout), MaxTimeout: Duration(defaultMaxTimeout),
			IdleTimeout: Duration(defaultIdleTimeout), StopTimeout: Duration(defaultStopTimeout),
			RecordRetention: Duration(defaultRetention),
		},
	}
}

// Load reads and validates a settings file. An error is of type Faults, or the
// error of reading the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, data)
}

// rule is the result of one check of a field's value. problem is reported if ok
// is false.
type rule struct {
	field   string
	ok      bool
	problem string
}

func (se Settings) rules() []rule {
	key, keyErr := hex.DecodeString(se.ResumeKey)
	platform, urlErr := url.Parse(se.Platform.URL)
	rules := []rule{
		{"name", se.Name != "" && len(se.Name) <= 63, "must be 1 to 63 bytes"},
		{"zone", se.Zone != "", "must name the availability zone of this instance"},
		{"platform.url", urlErr == nil && platform.Host != "", `must be like "http://10.0.0.1:7000"`},
		{"resume_key", keyErr == nil && len(key) == 32, "must be 64 hex digits, the same on all instances"},
		{"limits.memory_mb", se.Limits.MemoryMB == 0 || se.Limits.MemoryMB >= minMemoryMB, "must be 0 or at least 64"},
		{"limits.body_bytes", se.Limits.BodyBytes >= 1024 && se.Limits.BodyBytes <= 64<<20, "allowed are 1024 to 67108864"},
		{"limits.body_bytes", se.Limits.MemoryMB == 0 || int64(se.Limits.BodyBytes) <= se.Limits.MemoryBytes()/minMemoryBodies, "must be at most a sixteenth of limits.memory_mb"},
		{"limits.timeout", se.Limits.Timeout > 0 && se.Limits.Timeout <= se.Limits.MaxTimeout, "must be above 0s and at most limits.max_timeout"},
		{"limits.max_timeout", se.Limits.MaxTimeout > 0, "must be above 0s"},
		{"limits.idle_timeout", se.Limits.IdleTimeout >= Duration(100*time.Millisecond), "must be at least 100ms"},
		{"limits.record_retention", se.Limits.RecordRetention >= Duration(time.Minute), "must be at least 1m"},
		{"limits.flush_delay", se.Limits.FlushDelay >= 0 && se.Limits.FlushDelay <= maxFlushDelay, "allowed are 0s to 1s"},
		{"limits.stop_timeout", se.Limits.StopTimeout >= 0, "must not be negative"},
		{"log.level", slices.Contains(logLevels, se.Log.Level), `allowed are "debug", "info", "warn" and "error"`},
	}
	mutual := rule{"peer.tls.ca_file", !se.Peer.TLS.Enabled() || se.Peer.TLS.CAFile != "", "required with cert_file: instances check each other"}
	rules = append(rules, mutual)
	for ix, address := range se.Peers {
		host, _, err := net.SplitHostPort(address)
		rules = append(rules, rule{fmt.Sprintf("peers[%d]", ix), err == nil && net.ParseIP(host) != nil, `must be an IP number and port like "10.0.0.1:7100"`})
	}
	peerHost, _, _ := net.SplitHostPort(se.Peer.Listen)
	reachable := !net.ParseIP(peerHost).IsUnspecified()
	rules = append(rules, rule{"peer.listen", reachable, "must be the IP number at which other instances reach this one, not a wildcard"})
	rules = append(rules, se.Caller.rules("caller", se.AllowPlaintext)...)
	rules = append(rules, se.Operator.rules("operator", se.AllowPlaintext)...)
	return append(rules, se.Peer.rules("peer", se.AllowPlaintext)...)
}

func (li Listener) rules(name string, plaintext bool) []rule {
	host, _, err := net.SplitHostPort(li.Listen)
	return []rule{
		{name + ".listen", err == nil && net.ParseIP(host) != nil, `must be an IP number and port like "10.0.0.1:8080"`},
		{name + ".tls", li.TLS.Enabled() || plaintext, "needs cert_file and key_file unless allow_plaintext is true"},
		{name + ".tls.key_file", !li.TLS.Enabled() || li.TLS.KeyFile != "", "required with cert_file"},
	}
}
