package daemon

import (
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"

	"filbertstall.example/filbertstall/internal/certificate"
	"filbertstall.example/filbertstall/internal/controller"
	"filbertstall.example/filbertstall/internal/setting"
)

// listeners holds the open listeners of an instance.
type listeners struct {
	caller, operator, peer net.Listener
	// peerTLS is the TLS configuration of calls to other instances. It is nil
	// if the peer listener has no certificate.
	peerTLS *tls.Config
	// certificates are the controllers that reload certificates when their files
	// change.
	certificates []controller.Controller
}

// listen opens the three listeners. If one fails, those that are already open stay
// open until the process exits.
func (da *Daemon) listen() (listeners, error) {
	var li listeners
	var err error
	if li.caller, err = da.open(&li, da.Settings.Caller, (*certificate.Source).ServerConfig); err != nil {
		return li, eris.Wrap(err, "caller")
	}
	if li.operator, err = da.open(&li, da.Settings.Operator, (*certificate.Source).ServerConfig); err != nil {
		return li, eris.Wrap(err, "operator")
	}
	mutual := func(so *certificate.Source) *tls.Config {
		li.peerTLS = so.MutualConfig()
		return li.peerTLS
	}
	li.peer, err = da.open(&li, da.Settings.Peer, mutual)
	return li, eris.Wrap(err, "peer")
}

// open opens one listener. It uses TLS if the settings name a certificate, with
// the TLS configuration that config returns, and then adds the source of the
// certificate to li.
func (da *Daemon) open(li *listeners, se setting.Listener, config func(*certificate.Source) *tls.Config) (net.Listener, error) {
	ln, err := net.Listen("tcp", se.Listen)
	if err != nil || !se.TLS.Enabled() {
		return ln, err
	}
	so := &certificate.Source{
		CertFile: se.TLS.CertFile, KeyFile: se.TLS.KeyFile, CAFile: se.TLS.CAFile, Clock: da.Clock, Log: da.Log,
	}
	if err := so.Load(); err != nil {
		return nil, err
	}
	li.certificates = append(li.certificates, so)
	return tls.NewListener(ln, config(so)), nil
}
