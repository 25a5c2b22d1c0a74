// Package loadshare lets instances tell each other what they run at which
// engine, so that a new generation goes where there is room for it.
//
// An instance sends all that it runs, in one datagram, as soon as that changes
// and at least once in a heartbeat. A datagram that is lost is made up for by
// the next one, so nothing waits for answers and a cut zone costs nothing but
// knowledge. This is why the exchange uses datagrams, not the calls that
// instances make elsewhere. What an instance said counts until it has been
// silent for three heartbeats.
//
// # Usage
//
//	ex := &loadshare.Exchange{Conn: conn, Instance: "edge-1", Board: bo, Members: members, Clock: clock, Log: log}
//	err := ex.Run(ctx) // a controller.Controller
package loadshare
