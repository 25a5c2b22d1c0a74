// Package loadshare exchanges engine loads between instances, so that each
// places new generations on engines with free capacity.
//
// An instance sends its complete load in one datagram whenever it changes, up
// to a maximum rate, and at least once per heartbeat. Other zones receive it
// less often, the more instances they have (remoteSendInterval). Each datagram
// replaces the one before, so a lost one is repaired by the next, and no
// instance waits for acknowledgements: during a network partition the loads of
// the other zone become stale, but nothing blocks. This is why the exchange uses
// datagrams and not the RPCs that instances use elsewhere. The loads of an
// instance expire when nothing has arrived from it for three heartbeats.
//
// # Usage
//
//	ex := &loadshare.Exchange{Conn: conn, Instance: "edge-1", Tracker: lt, Members: members, MoveOrder: order, Clock: clock, Log: log}
//	err := ex.Run(ctx) // a controller.Controller
package loadshare
