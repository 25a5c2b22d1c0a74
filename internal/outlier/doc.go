// Package outlier sets endpoints aside whose requests fail while those of other
// endpoints of the same service succeed.
//
// Each instance sees few requests to one endpoint. So the instances tell each other the
// times of failures and of later successes at endpoint processes that fail, and each
// judges by all of them: several consecutive failures, or at least as many failures as successes. A
// process that is set aside gets a probe after some time, which doubles with each failed
// one. A hash tells which instances may send the first probes; their number doubles
// until all may. The first success ends the ejection at all instances.
//
// A judgement rests on the reports of several instances, or on what this instance saw
// itself. Reports from other zones count only if instances of two zones agree, because
// one zone may have lost its links. The reports of an
// instance that fails at many endpoints don't count: its own links are the likelier cause. If too many endpoints of a service or a zone
// fail, none of them is set aside: the cause is elsewhere.
//
// What is known of a process is forgotten when it restarts, since a restarted process is
// another one, and after 30 s without a failure.
//
// # Usage
//
//	de := &outlier.Detector{Instance: "edge-1", Zone: "a", Roster: ro, Instances: count, Clock: clock, Log: log}
//	de.Record(endpoint, placement.Lost, sentAt)
//	if de.Standing(endpoint) == placement.SetAside { ... }
//	de.Merge("edge-2", "b", reports) // what another instance saw
//	reports := de.Changed(true)      // what to tell others
package outlier
