package admission

// ConcurrencyLimit returns how many requests the endpoint can currently run at
// once, according to its warm-up state and its token latency. It is zero for
// an unknown endpoint.
func (al *Allocator) ConcurrencyLimit(name string) int {
	ac, found := al.accounts[name]
	if !found {
		return 0
	}
	return ac.limit()
}

// Warm reports whether the endpoint has completed its warm-up under the boot
// ID of its last report.
func (al *Allocator) Warm(name string) bool {
	ac, found := al.accounts[name]
	return found && ac.warm.Warm()
}

// ConfirmWarm records that another allocator has seen the endpoint complete its
// warm-up under the boot ID. This takes effect once the endpoint reports the
// same ID.
func (al *Allocator) ConfirmWarm(name, boot string) {
	ac, found := al.accounts[name]
	if !found || ac.Endpoint.Capacity.Sequences == 0 {
		return
	}
	ac.warm = ac.warm.WithAllowed(boot, ac.Endpoint.Capacity.Sequences)
	al.updateScore(ac)
}
