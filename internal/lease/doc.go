// Package lease implements leases that expire, stored in the platform and
// changed by conditional updates.
//
// The clocks of two instances are never compared. The holder measures the term
// from the moment before it sent its last successful write, less a margin. A
// contender measures it from the moment after it first observed that write,
// plus the same margin. The holder therefore stops before any other instance
// may take the lease. The holder calls Held before each action, and so detects
// that it was paused.
//
// Each change of holder increases the epoch. Commands to endpoints carry it as
// their fencing token, in the header Fencing-Number.
//
// # Usage
//
//	le := &lease.Lease{Store: store, Clock: clock, Key: "lease/allocator/martin-c/filbert-pool", Holder: name, Address: peer}
//	err := le.Step(ctx)          // every lease.RenewInterval
//	if epoch, ok := le.Held(); ok { ... act, epoch is the fencing token ... }
//
// A caller that lists many leases with one call passes each object to Observe
// and then calls TakeOrRenew in place of Step.
package lease
