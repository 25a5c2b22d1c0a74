package rollout

// State is how far an order has come. The store knows Promoting as a stage of running.
type State int

const (
	// Pending is the state of an order for which no status was written yet.
	Pending State = iota
	// Canary is the state in which a share of the requests goes to the target.
	Canary
	// Promoting follows when the target was not found bad: a rising share of the requests,
	// at last all, goes to it and the runs at old endpoints are moved.
	Promoting
	// Completed is the end of a good version: the old endpoints stop at once.
	Completed
	// RolledBack is the end of a bad one: the target gets no request.
	RolledBack
)

var stateNames = [...]string{"pending", "canary", "promoting", "completed", "rolled_back"}

// String returns the state's name in logs.
func (st State) String() string {
	if st < 0 || int(st) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[st]
}

// Final reports whether the state is never left.
func (st State) Final() bool { return st == Completed || st == RolledBack }
