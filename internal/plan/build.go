package plan

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/intent"
	"filbertstall.example/filbertstall/internal/member"
	"filbertstall.example/filbertstall/pkg/kind"
)

// Errors of an intent as a whole, which belong to no line of its file.
var (
	errNoChange   = errors.New("the intent changes nothing")
	errNoInstance = errors.New("no such instance is running")
)

// build returns a plan with the steps from the current configuration to the
// target.
func build(bu *configuration.Bundle, ta intent.Target, vi *member.View) (Plan, error) {
	cf := bu.Configuration()
	pl := Plan{State: Planned, Base: Base{Version: bu.Head.Version, Shards: bu.Head.Shards}}
	pl.configure("change", cf, ta.Interim)
	if len(ta.DrainEndpoints) > 0 {
		pl.add(Step{
			Action: AwaitEndpointsIdle, Title: "let work finish at " + strings.Join(ta.DrainEndpoints, ", "),
			Endpoints: ta.DrainEndpoints, Capacity: CapacityOf(ta.Interim),
		})
	}
	pl.configure("hand over", ta.Interim, ta.Final)
	if len(ta.DrainZones) > 0 {
		pl.add(Step{
			Action: AwaitZonesIdle, Title: "let work finish in " + strings.Join(ta.DrainZones, ", "),
			Zones: ta.DrainZones, Capacity: CapacityOf(ta.Final),
		})
	}
	for _, st := range ta.Stops {
		if err := pl.stop(st, ta.Final, vi); err != nil {
			return pl, err
		}
	}
	if !slices.ContainsFunc(pl.Steps, func(st Step) bool { return st.Action == Configure || st.Action == StopInstance }) {
		return pl, errNoChange
	}
	return pl, nil
}

func (pl *Plan) add(st Step) {
	st.State = StepPending
	pl.Steps = append(pl.Steps, st)
}

// configure adds the steps that publish a configuration and wait until it is in
// force on every instance. It adds none if the configurations are equal.
func (pl *Plan) configure(verb string, from, to *kind.Configuration) {
	changes := Diff(from, to)
	if len(changes) == 0 {
		return
	}
	objects := make([]string, 0, len(changes))
	for _, ch := range changes {
		objects = append(objects, ch.Object())
		if !slices.Contains(pl.Objects, ch.Object()) {
			pl.Objects = append(pl.Objects, ch.Object())
		}
	}
	capacity := CapacityOf(to)
	pl.add(Step{Action: Configure, Title: verb + " " + summary(objects), Changes: changes, Capacity: capacity})
	pl.add(Step{Action: AwaitInForce, Title: "wait until in force on every instance", Capacity: capacity})
}

// maxSummaryObjects limits the number of objects in the title of a step.
const maxSummaryObjects = 4

func summary(objects []string) string {
	if len(objects) <= maxSummaryObjects {
		return strings.Join(objects, ", ")
	}
	rest := len(objects) - maxSummaryObjects
	return strings.Join(objects[:maxSummaryObjects], ", ") + " and " + strconv.Itoa(rest) + " more"
}

func (pl *Plan) stop(st intent.Stop, cf *kind.Configuration, vi *member.View) error {
	me, found := vi.Member(st.Instance)
	if !found || !me.Present() {
		return errNoInstance
	}
	object := "instance/" + me.Name
	if slices.Contains(pl.Objects, object) {
		return errors.New(object + " is named twice")
	}
	pl.Objects = append(pl.Objects, object)
	remaining := len(vi.In(me.Zone, member.Live)) - 1
	title := "stop instance " + me.Name + "; zone " + me.Zone + " keeps " + strconv.Itoa(max(remaining, 0))
	pl.add(Step{Action: StopInstance, Title: title, Instance: me.Name, Zone: me.Zone, InstanceStarted: me.Started, Capacity: CapacityOf(cf)})
	if st.Replace {
		pl.add(Step{
			Action: AwaitReplacement, Title: "wait for an instance in place of " + me.Name,
			Instance: me.Name, Zone: me.Zone, Capacity: CapacityOf(cf),
		})
	}
	return nil
}
