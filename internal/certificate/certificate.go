// Package certificate provides TLS configurations for listeners and clients. The
// certificates are reloaded from their files when the files change.
//
// # Usage
//
//	so := &certificate.Source{CertFile: "a.pem", KeyFile: "a.key", CAFile: "ca.pem", Clock: clock}
//	if err := so.Load(); err != nil { return err }
//	ln = tls.NewListener(ln, so.ServerConfig())   // callers, operators
//	ln = tls.NewListener(ln, so.MutualConfig())   // peers, with mutual TLS
//	go so.Run(ctx)                                // a controller.Controller
//
// An established connection keeps its certificate. If changed files cannot be
// loaded, the error is logged and the previous certificate stays in use.
package certificate

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/snapshot"
)

// pollInterval is how often the files are checked for changes.
const pollInterval = 2 * time.Second

// ErrorKind classifies a failure to load or verify a certificate.
type ErrorKind string

// The kinds of error that this package reports.
const (
	// Unreadable means that a file does not exist or cannot be accessed, or that
	// CAFile cannot be read.
	Unreadable ErrorKind = "unreadable"
	// Invalid means that the certificate or key cannot be loaded, that CAFile
	// holds no certificate, or that the certificate of a peer is missing, expired
	// or not signed by a known authority.
	Invalid ErrorKind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation: "stat", "load" or "verify".
	Op   string
	File string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (er *Error) Error() string {
	return fmt.Sprintf("certificate: %s %s: %s: %v", er.Op, er.File, er.Kind, er.Err)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// credentials is the content of the files at one time.
type credentials struct {
	certificate tls.Certificate
	// authorities is nil if no CAFile is set.
	authorities *x509.CertPool
	// stamp identifies the versions of the files that were loaded.
	stamp string
}

// Source loads a certificate from files and keeps it up to date. Set the fields
// before Load, and call Load before any other method.
type Source struct {
	CertFile string
	KeyFile  string
	// CAFile holds the certificate authorities of peers. It may be empty if
	// MutualConfig is not used.
	CAFile string
	Clock  clockwork.Clock
	Log    zerolog.Logger

	current snapshot.Holder[credentials]
}

// Name implements controller.Controller.
func (so *Source) Name() string { return "certificate" }

// Load reads the files. On an error the previous certificate stays in use.
func (so *Source) Load() error {
	stamp, err := so.stamp()
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(so.CertFile, so.KeyFile)
	if err != nil {
		return &Error{Op: "load", File: so.CertFile, Kind: Invalid, Err: err}
	}
	lo := &credentials{certificate: pair, stamp: stamp}
	if so.CAFile != "" {
		if lo.authorities, err = readAuthorities(so.CAFile); err != nil {
			return err
		}
	}
	so.current.Store(lo)
	return nil
}

func readAuthorities(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, &Error{Op: "load", File: path, Kind: Unreadable, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &Error{Op: "load", File: path, Kind: Invalid, Err: fmt.Errorf("file holds no PEM-encoded certificate")}
	}
	return pool, nil
}

// stamp returns a string of the modification times and sizes of the files. It
// changes when one of the files changes.
func (so *Source) stamp() (string, error) {
	stamp := ""
	for _, path := range []string{so.CertFile, so.KeyFile, so.CAFile} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return "", &Error{Op: "stat", File: path, Kind: Unreadable, Err: err}
		}
		stamp += fmt.Sprint(info.ModTime().UnixNano(), info.Size(), ";")
	}
	return stamp, nil
}

// Run reloads the files when they change, until ctx ends.
func (so *Source) Run(ctx context.Context) error {
	ticker := so.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			so.refresh()
		}
	}
}

func (so *Source) refresh() {
	stamp, err := so.stamp()
	if err == nil && stamp == so.current.Load().stamp {
		return
	}
	if err == nil {
		err = so.Load()
	}
	if err != nil {
		so.Log.Error().Err(err).Msg("certificate: cannot load changed files; keeping the certificate in use")
		return
	}
	so.Log.Info().Str("file", so.CertFile).Msg("certificate: reloaded from changed files")
}

// ServerConfig returns the configuration of a listener that presents a
// certificate and does not request one from clients.
func (so *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &so.current.Load().certificate, nil
		},
	}
}

// MutualConfig returns the configuration for mutual TLS between instances, for
// both listeners and clients. Each side must present a certificate signed by an
// authority in CAFile. Instances are addressed by IP address, which may change
// with a restart, so a client verifies the authority but not the host name.
func (so *Source) MutualConfig() *tls.Config {
	base := so.ServerConfig()
	base.ClientAuth = tls.RequireAnyClientCert
	base.InsecureSkipVerify = true // VerifyConnection checks the authority on both sides
	base.VerifyConnection = so.verify
	base.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &so.current.Load().certificate, nil
	}
	return base
}

// verify checks that the certificate of the other side is signed by one of the
// authorities that are currently loaded.
func (so *Source) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return &Error{Op: "verify", File: so.CAFile, Kind: Invalid, Err: fmt.Errorf("the peer presented no certificate")}
	}
	intermediates := x509.NewCertPool()
	for _, ce := range state.PeerCertificates[1:] {
		intermediates.AddCert(ce)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: so.current.Load().authorities, Intermediates: intermediates, CurrentTime: so.Clock.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return &Error{Op: "verify", File: so.CAFile, Kind: Invalid, Err: err}
	}
	return nil
}
