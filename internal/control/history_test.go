package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/plan"
	"filbertstall.example/filbertstall/pkg/kind"
)

// history observes every head that the platform accepts and the configuration in
// force on each instance. It records violations of these guarantees: a version
// refers to one configuration, a step of a plan is applied once, and an instance
// neither reverts to an older version nor reports a newer one than it serves.
type history struct {
	fl *fleet

	mu         sync.Mutex
	violations []string
	// shards are the hashes of the shards by version.
	shards map[int64][]string
	// moves holds the last move of each plan by its ID.
	moves map[string]configuration.Move
	// stepVersions holds the version that recorded each state of a move, that is
	// the plan, its number of applied steps and whether it is done.
	stepVersions map[string]int64
	// begun lists the IDs of the plans whose first step was applied, in order.
	begun []string
	// latest is the highest version of a head.
	latest int64
	// inForce holds the last sampled version by instance name.
	inForce map[string]int64
}

func newHistory(fl *fleet) *history {
	return &history{
		fl: fl, shards: make(map[int64][]string), moves: make(map[string]configuration.Move), inForce: make(map[string]int64), stepVersions: make(map[string]int64),
	}
}

// run watches the platform over a separate connection until ctx ends.
func (hi *history) run(ctx context.Context) {
	st := hi.fl.store.Connect()
	var revision int64
	for ctx.Err() == nil {
		li, err := st.Watch(ctx, configuration.HeadKey, revision)
		if err != nil {
			continue
		}
		for _, ob := range li.Objects {
			hi.recordHead(ob.Value)
		}
		revision = li.Revision
	}
}

func (hi *history) reportViolation(format string, args ...any) {
	hi.violations = append(hi.violations, fmt.Sprintf(format, args...))
}

func (hi *history) recordHead(data []byte) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	var he configuration.Head
	if err := json.Unmarshal(data, &he); err != nil {
		hi.reportViolation("head: %v", err)
		return
	}
	hi.checkVersionContent(he)
	if he.Version <= hi.latest {
		return
	}
	hi.latest = he.Version
	for _, id := range hi.begun {
		if mo, found := he.Move(id); !found || mo.Steps < hi.moves[id].Steps {
			hi.reportViolation("version %d lost a step of plan %s, which would be applied again", he.Version, id)
		}
	}
	hi.checkStepOnce(he)
	for _, mo := range he.Moves {
		if _, known := hi.moves[mo.Plan]; !known && mo.Steps > 0 {
			hi.begun = append(hi.begun, mo.Plan)
		}
		hi.moves[mo.Plan] = mo
	}
}

// checkStepOnce checks that no plan writes the same step into the head twice. The
// last move of a head belongs to the plan that wrote the head.
func (hi *history) checkStepOnce(he configuration.Head) {
	if len(he.Moves) == 0 {
		return
	}
	mo := he.Moves[len(he.Moves)-1]
	mark := fmt.Sprintf("%s after %d steps, done %t", mo.Plan, mo.Steps, mo.Done)
	if version, twice := hi.stepVersions[mark]; twice {
		hi.reportViolation("versions %d and %d were both written by plan %s", version, he.Version, mark)
	}
	hi.stepVersions[mark] = he.Version
}

// checkVersionContent checks that each version number refers to a single
// configuration.
func (hi *history) checkVersionContent(he configuration.Head) {
	shards, known := hi.shards[he.Version]
	if known && !slices.Equal(shards, he.Shards) {
		hi.reportViolation("version %d refers to two configurations", he.Version)
	}
	hi.shards[he.Version] = he.Shards
}

// sample checks the configuration in force on each running instance.
func (hi *history) sample() {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	for _, no := range hi.fl.up() {
		bu := no.State.Bundle()
		if bu == nil {
			continue
		}
		if bu.Head.Version < hi.inForce[no.Self.Name] {
			hi.reportViolation("%s reverted from version %d to %d", no.Self.Name, hi.inForce[no.Self.Name], bu.Head.Version)
		}
		if cf := no.holder.Load(); cf.Version() < bu.Head.Version {
			hi.reportViolation("%s reports version %d but serves version %d", no.Self.Name, bu.Head.Version, cf.Version())
		}
		hi.inForce[no.Self.Name] = bu.Head.Version
		hi.checkVersionContent(bu.Head)
	}
}

// highest returns the highest version that was in force on any instance.
func (hi *history) highest() int64 {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	var version int64
	for _, it := range hi.inForce {
		version = max(version, it)
	}
	return version
}

// applied returns the IDs of the plans whose first step was applied, in that
// order.
func (hi *history) applied() []string {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return slices.Clone(hi.begun)
}

// foundViolations returns the violations found so far.
func (hi *history) foundViolations() []string {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return slices.Clone(hi.violations)
}

// lastChanges returns, for each object, the change of the last plan that changed
// it.
func lastChanges(plans []plan.Plan) map[string]plan.Change {
	changes := make(map[string]plan.Change)
	for _, pl := range plans {
		for _, st := range pl.Steps {
			for _, ch := range st.Changes {
				changes[ch.Object()] = ch
			}
		}
	}
	return changes
}

// objectOf returns the JSON of the object that a change refers to, or an empty
// string if the configuration does not have it.
func objectOf(cf *kind.Configuration, ch plan.Change) string {
	empty, err := kind.NewConfiguration(kind.Document{})
	if err != nil {
		return err.Error()
	}
	for _, it := range plan.Diff(empty, cf) {
		if it.Object() == ch.Object() {
			return string(it.After)
		}
	}
	return ""
}
