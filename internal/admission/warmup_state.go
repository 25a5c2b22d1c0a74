package admission

import "time"

// WarmUpState is how far the warm-up of an endpoint has progressed since its
// process started.
type WarmUpState struct {
	Endpoint string `json:"endpoint"`
	// BootID identifies the process to which Allowed applies.
	BootID string `json:"boot_id"`
	// Allowed is the number of requests that the endpoint may run at once.
	Allowed int `json:"allowed"`
}

// WarmUpState returns the state of all endpoints with a known boot ID, so that
// it can be passed to the Restore of the next allocator.
func (al *Allocator) WarmUpState() []WarmUpState {
	var list []WarmUpState
	for _, ac := range al.order {
		if ac.warm.Boot() != "" {
			list = append(list, WarmUpState{Endpoint: ac.Endpoint.Name, BootID: ac.warm.Boot(), Allowed: ac.warm.Allowed()})
		}
	}
	return list
}

// Restore applies the warm-up state that an earlier allocator recorded. An
// endpoint stays cold if its boot ID is known to have changed since, or if its
// next report shows another one.
func (al *Allocator) Restore(_ time.Time, list []WarmUpState) {
	for _, ws := range list {
		if ac, found := al.accounts[ws.Endpoint]; found {
			ac.warm = ac.warm.WithAllowed(ws.BootID, ws.Allowed)
			al.updateScore(ac)
		}
	}
}
