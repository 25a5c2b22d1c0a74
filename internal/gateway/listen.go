package gateway

import (
	"net"
	"net/netip"
)

// listeners are the open listeners of an instance. The metrics listener is nil
// if metrics are not served.
type listeners struct {
	callers, readiness, metrics net.Listener
	// forwards accepts the requests that other instances forward. It is nil if
	// Settings.Forwards is empty.
	forwards net.Listener
	// peers receives datagrams of other instances. It is nil if
	// Settings.Peers is empty.
	peers *net.UDPConn
	// calls accepts RPC connections of other instances at the same address. It is
	// nil if peers is nil.
	calls net.Listener
}

func (gw *Gateway) listen() (li listeners, err error) {
	if li.callers, err = net.Listen("tcp4", gw.Settings.Callers); err != nil {
		return li, err
	}
	if li.readiness, err = net.Listen("tcp4", gw.Settings.Readiness); err != nil {
		return li, err
	}
	if gw.Settings.Metrics != "" {
		if li.metrics, err = net.Listen("tcp4", gw.Settings.Metrics); err != nil {
			return li, err
		}
	}
	if gw.Settings.Peers == "" {
		return li, nil
	}
	address, err := netip.ParseAddrPort(gw.Settings.Peers)
	if err != nil {
		return li, err
	}
	if li.peers, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)); err != nil {
		return li, err
	}
	if li.calls, err = net.Listen("tcp4", gw.Settings.Peers); err != nil || gw.Settings.Forwards == "" {
		return li, err
	}
	li.forwards, err = net.Listen("tcp4", gw.Settings.Forwards)
	return li, err
}
