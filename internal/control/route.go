package control

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/operator"
	"filbertstall.example/filbertstall/internal/plan"
	"filbertstall.example/filbertstall/internal/refusal"
	"filbertstall.example/filbertstall/pkg/kind"
)

// requestTimeout is the timeout of an operator's request.
const requestTimeout = 10 * time.Second

// FleetStatus is the answer to GET /fleet.
type FleetStatus struct {
	// Instance is the instance that answers, and Zone is its zone.
	Instance string       `json:"instance"`
	Zone     string       `json:"zone"`
	InForce  plan.InForce `json:"in_force"`
	// Platform describes how the answering instance sees the platform, for
	// example "in step".
	Platform string `json:"platform"`
	// IsolatedZones lists the zones that are isolated from the answering
	// instance: none of their instances answers it.
	IsolatedZones []string      `json:"cut_off,omitempty"`
	Zones         []kind.Zone   `json:"zones"`
	Members       []FleetMember `json:"members"`
	// Running lists the plans that are being executed.
	Running  []plan.Plan     `json:"running"`
	Capacity []plan.Capacity `json:"capacity"`
}

// FleetMember is one instance in FleetStatus.
type FleetMember struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Version  int64  `json:"version"`
	InFlight int    `json:"in_flight"`
	// Note describes a problem with the instance; it is empty if there is none.
	Note string `json:"note,omitempty"`
}

// PlanAnswer is the answer to a request that concerns one plan.
type PlanAnswer struct {
	Plan plan.Plan `json:"plan"`
	// Conflict says why the operation conflicts with the state of the plan or of
	// the configuration. The HTTP status is then 409.
	Conflict string `json:"conflict,omitempty"`
}

// Routes returns the routes of the operator API for the fleet, the objects of
// the configuration and plans.
func (co *Control) Routes() map[string]operator.Route {
	return map[string]operator.Route{
		"GET /fleet":          {Role: kind.RoleView, Serve: co.serveFleet},
		"GET /objects":        {Role: kind.RoleView, Serve: co.serveObjects},
		"GET /plans":          {Role: kind.RoleView, Serve: co.servePlan},
		"POST /plans":         {Role: kind.RolePlan, Serve: co.makePlan},
		"POST /plans/confirm": {Role: kind.RoleConfirm, Serve: co.confirmPlan},
		"POST /plans/cancel":  {Role: kind.RoleConfirm, Serve: co.cancelPlan},
	}
}

func queryArgument(re operator.Request, name string) string {
	return string(re.HTTP.QueryArgs().Peek(name))
}

func requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), requestTimeout)
}

func (co *Control) makePlan(re operator.Request) (any, error) {
	ctx, cancel := requestContext()
	defer cancel()
	pl, err := co.Plans.Make(ctx, re.Team.Name, queryArgument(re, "file"), re.Body)
	return planAnswer(re, pl, err)
}

func (co *Control) servePlan(re operator.Request) (any, error) {
	ctx, cancel := requestContext()
	defer cancel()
	pl, err := co.Plans.Get(ctx, queryArgument(re, "id"))
	return planAnswer(re, pl, err)
}

func (co *Control) confirmPlan(re operator.Request) (any, error) {
	ctx, cancel := requestContext()
	defer cancel()
	pl, err := co.Plans.Confirm(ctx, queryArgument(re, "id"), re.Team.Name)
	return planAnswer(re, pl, err)
}

func (co *Control) cancelPlan(re operator.Request) (any, error) {
	ctx, cancel := requestContext()
	defer cancel()
	pl, err := co.Plans.Cancel(ctx, queryArgument(re, "id"))
	return planAnswer(re, pl, err)
}

func planAnswer(re operator.Request, pl plan.Plan, err error) (any, error) {
	var er *plan.Error
	switch {
	case err == nil:
		return PlanAnswer{Plan: pl}, nil
	case !errors.As(err, &er):
		return nil, refusal.Wrap(refusal.Internal, err.Error(), err)
	case er.Kind == plan.Conflict:
		re.HTTP.SetStatusCode(http.StatusConflict)
		return PlanAnswer{Plan: pl, Conflict: er.Err.Error()}, nil
	case er.Kind == plan.Invalid:
		return nil, refusal.Wrap(refusal.BadRequest, er.Err.Error(), err)
	case er.Kind == plan.Unknown:
		return nil, refusal.Wrap(refusal.NotFound, er.Err.Error(), err)
	default:
		return nil, refusal.Wrap(refusal.NoConfiguration, "the platform cannot say: "+er.Err.Error(), err)
	}
}

func (co *Control) serveFleet(operator.Request) (any, error) {
	ctx, cancel := requestContext()
	defer cancel()
	return co.Status(ctx)
}

// Status returns the status of the fleet as seen by this instance. It fails if
// this instance has no configuration yet.
func (co *Control) Status(ctx context.Context) (FleetStatus, error) {
	answers := co.Reports(ctx)
	bu := co.State.Bundle()
	if bu == nil {
		return FleetStatus{}, refusal.New(refusal.NoConfiguration, "this instance has no configuration yet")
	}
	cf := bu.Configuration()
	status := FleetStatus{
		Instance: co.Self.Name, Zone: co.Self.Zone, IsolatedZones: isolatedZones(answers), InForce: plan.CountInForce(highestVersion(answers), answers), Platform: co.platformStatus(),
		Zones: cf.Zones(), Capacity: plan.CapacityOf(cf), Running: []plan.Plan{},
	}
	for _, an := range answers {
		status.Members = append(status.Members, fleetMember(an))
	}
	for _, mo := range bu.Head.Moves {
		if mo.Done {
			continue
		}
		pl, err := co.Plans.Get(ctx, mo.Plan)
		if err != nil {
			pl = plan.Plan{ID: mo.Plan, State: plan.Confirmed, Note: err.Error()}
		}
		status.Running = append(status.Running, pl)
	}
	return status, nil
}

func highestVersion(answers []plan.Answer) int64 {
	var version int64
	for _, an := range answers {
		version = max(version, an.Report.Standing.Version)
	}
	return version
}

// isolatedZones returns the zones of which no instance answers, sorted by name.
func isolatedZones(answers []plan.Answer) []string {
	var unreachable, reachable []string
	for _, an := range answers {
		if an.Err == nil {
			reachable = append(reachable, an.Member.Zone)
		} else {
			unreachable = append(unreachable, an.Member.Zone)
		}
	}
	unreachable = slices.DeleteFunc(unreachable, func(zone string) bool { return slices.Contains(reachable, zone) })
	slices.Sort(unreachable)
	return slices.Compact(unreachable)
}

// platformSilenceThreshold is the time without an answer from the platform after
// which the status reports it.
const platformSilenceThreshold = 10 * time.Second

func (co *Control) platformStatus() string {
	st := co.State.Standing()
	silence := co.Clock.Since(st.PlatformAt)
	switch {
	case st.PlatformAt.IsZero() && !co.elected():
		return "not watched by this instance"
	case st.PlatformAt.IsZero():
		return "has not answered this instance yet"
	case co.elected() && silence > platformSilenceThreshold:
		return "has not answered this instance for " + silence.Truncate(time.Second).String()
	case st.PlatformVersion < st.Version:
		return "shows an older configuration than that in force"
	default:
		return "in step"
	}
}

func fleetMember(an plan.Answer) FleetMember {
	me := FleetMember{Name: an.Member.Name, Zone: an.Member.Zone, State: string(an.Member.State), Version: an.Report.Standing.Version}
	for _, number := range an.Report.InFlight {
		me.InFlight += number
	}
	if an.Err != nil {
		me.Version = an.Member.Version
		me.Note = "no answer; version as last heard"
	}
	if an.Report.Standing.Diverged {
		me.Note = "saw another configuration of the same version"
	}
	return me
}

// serveObjects returns all objects of a kind, or the one with the requested name
// as a list of one.
func (co *Control) serveObjects(re operator.Request) (any, error) {
	name, cf := queryArgument(re, "name"), re.Configuration
	switch ki := queryArgument(re, "kind"); ki {
	case "half":
		return filterByName(cf.Halves(), name, func(it kind.Half) string { return it.Name })
	case "zone":
		return filterByName(cf.Zones(), name, func(it kind.Zone) string { return it.Name })
	case "team":
		return filterByName(cf.Teams(), name, func(it kind.Team) string { return it.Name })
	case "service":
		return filterByName(cf.Services(), name, func(it kind.Service) string { return it.Name })
	case "endpoint":
		return filterByName(cf.Endpoints(), name, func(it kind.Endpoint) string { return it.Name })
	case "plan":
		return co.listPlans(name)
	default:
		return nil, refusal.New(refusal.BadRequest, "kind: allowed are half, zone, team, service, endpoint and plan")
	}
}

func (co *Control) listPlans(name string) (any, error) {
	ctx, cancel := requestContext()
	defer cancel()
	list, err := co.Plans.List(ctx)
	if err != nil {
		return nil, refusal.Wrap(refusal.NoConfiguration, "the platform does not answer", err)
	}
	return filterByName(list, name, func(it plan.Plan) string { return it.ID })
}

func filterByName[T any](list []T, name string, nameOf func(T) string) (any, error) {
	if name == "" {
		return list, nil
	}
	for _, it := range list {
		if nameOf(it) == name {
			return []T{it}, nil
		}
	}
	return nil, refusal.New(refusal.NotFound, "there is none of the name "+name)
}
