package intent

import (
	"errors"
	"fmt"

	"filbertstall.example/filbertstall/pkg/kind"
)

// Stop is an entry instance to stop.
type Stop struct {
	Instance string
	// Replace requests a wait until a new instance is live in the same zone.
	Replace bool
}

// Target is the outcome of an intent: the configurations to publish and the
// instances to stop.
type Target struct {
	// Interim is the configuration to publish at once. It contains the changes
	// that need not wait and drains the endpoints to be moved or removed.
	Interim *kind.Configuration
	// DrainEndpoints are the endpoints that must be idle before Final is
	// published.
	DrainEndpoints []string
	// Final is the configuration at the end. It has the same content as Interim
	// if no endpoint is moved or removed.
	Final *kind.Configuration
	// DrainZones are the zones that are taken out of service and whose work in
	// progress is to finish.
	DrainZones []string
	// Stops are the instances to stop, in this order.
	Stops []Stop
}

// errNoObject is the error of an action that names an object that does not
// exist.
type errNoObject struct{ kind, name string }

// Error implements error.
func (er errNoObject) Error() string { return "no " + er.kind + " is named " + er.name }

// resolver applies the actions of an intent to the configurations of a Target.
type resolver struct {
	Target
	// path is the path of the current action in the file, for errors.
	path string
}

// Target applies the actions of the intent to a configuration. The error is of
// type document.Faults and lists the problems of all actions.
func (in Intent) Target(cf *kind.Configuration) (Target, error) {
	re := &resolver{Target: Target{Interim: cf, Final: cf}}
	for ix, ac := range in.Actions {
		re.path = fmt.Sprintf("actions[%d].%s", ix, ac.set()[0])
		if err := re.apply(ac); err != nil {
			in.source.Add(re.fieldPath(err), errorDetail(err))
		}
	}
	return re.Target, in.source.Err()
}

// fieldPath returns the path of the field that an error refers to.
func (re *resolver) fieldPath(err error) string {
	var er *kind.Error
	if errors.As(err, &er) && er.Field != "" && er.Field != "json" {
		return re.path + "." + er.Field
	}
	return re.path
}

func errorDetail(err error) string {
	var er *kind.Error
	if errors.As(err, &er) {
		return er.Detail
	}
	return err.Error()
}

func (re *resolver) apply(ac Action) error {
	switch {
	case ac.SetHalf != nil:
		ha, err := kind.Half{}.WithFields(ac.SetHalf.raw)
		return re.changeBoth(err, func(cf *kind.Configuration) (*kind.Configuration, error) { return cf.WithHalf(ha) })
	case ac.SetZone != nil:
		zo, err := currentOr(kind.DefaultZone, re.Final.Zone, ac.SetZone.Name).WithFields(ac.SetZone.raw)
		return re.changeBoth(err, func(cf *kind.Configuration) (*kind.Configuration, error) { return cf.WithZone(zo) })
	case ac.SetTeam != nil:
		te, err := currentOr(kind.DefaultTeam, re.Final.Team, ac.SetTeam.Name).WithFields(ac.SetTeam.raw)
		return re.changeBoth(err, func(cf *kind.Configuration) (*kind.Configuration, error) { return cf.WithTeam(te) })
	case ac.SetService != nil:
		se, err := currentOr(kind.Service{}, re.Final.Service, ac.SetService.Name).WithFields(ac.SetService.raw)
		return re.changeBoth(err, func(cf *kind.Configuration) (*kind.Configuration, error) { return cf.WithService(se) })
	case ac.SetEndpoint != nil:
		return re.setEndpoint(ac.SetEndpoint)
	case ac.Assign != nil:
		return re.assign(*ac.Assign)
	case ac.StopInstance != "":
		re.Stops = append(re.Stops, Stop{Instance: ac.StopInstance})
		return nil
	case ac.RollInstance != "":
		re.Stops = append(re.Stops, Stop{Instance: ac.RollInstance, Replace: true})
		return nil
	default:
		return re.applyState(ac)
	}
}

// applyState applies an action that changes the state of a zone or of an
// endpoint, or that removes an endpoint.
func (re *resolver) applyState(ac Action) error {
	switch {
	case ac.TakeZoneOut != "":
		re.DrainZones = append(re.DrainZones, ac.TakeZoneOut)
		return re.zoneState(ac.TakeZoneOut, kind.ZoneOut)
	case ac.BringZoneBack != "":
		return re.zoneState(ac.BringZoneBack, kind.ZoneServing)
	case ac.DrainEndpoint != "":
		re.DrainEndpoints = append(re.DrainEndpoints, ac.DrainEndpoint)
		return re.endpointState(ac.DrainEndpoint, kind.EndpointDraining)
	case ac.UndrainEndpoint != "":
		return re.endpointState(ac.UndrainEndpoint, kind.EndpointServing)
	default:
		return re.removeEndpoint(ac.RemoveEndpoint)
	}
}

// currentOr returns the object with the name, or fallback if there is none.
func currentOr[T any](fallback T, find func(string) (T, bool), name string) T {
	if current, found := find(name); found {
		return current
	}
	return fallback
}

// change returns a configuration with one change applied.
type change func(*kind.Configuration) (*kind.Configuration, error)

// changeBoth applies a change that need not wait for an endpoint to be idle to
// both Interim and Final. It returns err, the error of preparing the change, if
// that is not nil.
func (re *resolver) changeBoth(err error, ch change) error {
	if err != nil {
		return err
	}
	if err := re.changeInterim(ch); err != nil {
		return err
	}
	return re.changeFinal(ch)
}

func (re *resolver) changeInterim(ch change) error {
	next, err := ch(re.Interim)
	if err == nil {
		re.Interim = next
	}
	return err
}

func (re *resolver) changeFinal(ch change) error {
	next, err := ch(re.Final)
	if err == nil {
		re.Final = next
	}
	return err
}

func withEndpoint(en kind.Endpoint) change {
	return func(cf *kind.Configuration) (*kind.Configuration, error) { return cf.WithEndpoint(en) }
}

// drainThenChange drains the endpoint in Interim and applies the change in Final
// only, so that the change waits until the endpoint is idle.
func (re *resolver) drainThenChange(en kind.Endpoint, ch change) error {
	if err := re.changeInterim(withEndpoint(en.WithState(kind.EndpointDraining))); err != nil {
		return err
	}
	re.DrainEndpoints = append(re.DrainEndpoints, en.Name)
	return re.changeFinal(ch)
}

// setEndpoint adds or changes an endpoint. If its service, half, address or zone
// changes, the endpoint is moved, and its work must finish first.
func (re *resolver) setEndpoint(fi *Fields[kind.Endpoint]) error {
	current, found := re.Final.Endpoint(fi.Name)
	if !found {
		current = kind.DefaultEndpoint
	}
	next, err := current.WithFields(fi.raw)
	if err != nil {
		return err
	}
	moves := next.Service != current.Service || next.Half != current.Half || next.URL != current.URL || next.Zone != current.Zone
	if found && moves {
		return re.drainThenChange(current, withEndpoint(next))
	}
	return re.changeBoth(nil, withEndpoint(next))
}

func (re *resolver) removeEndpoint(name string) error {
	en, found := re.Final.Endpoint(name)
	if !found {
		return errNoObject{"endpoint", name}
	}
	return re.drainThenChange(en, func(cf *kind.Configuration) (*kind.Configuration, error) { return cf.WithoutEndpoint(name) })
}

func (re *resolver) endpointState(name string, st kind.EndpointState) error {
	en, found := re.Final.Endpoint(name)
	if !found {
		return errNoObject{"endpoint", name}
	}
	return re.changeBoth(nil, withEndpoint(en.WithState(st)))
}

func (re *resolver) zoneState(name string, st kind.ZoneState) error {
	zo, found := re.Final.Zone(name)
	if !found {
		return errNoObject{"zone", name}
	}
	return re.changeBoth(nil, func(cf *kind.Configuration) (*kind.Configuration, error) { return cf.WithZone(zo.WithState(st)) })
}

// errOneKind is the error of an assignment that names no object or several.
var errOneKind = errors.New("must name exactly one of endpoint, zone, team and service")

// errNoHalf is the error of an assignment without a half. Only one that says so opens an
// object to both halves.
var errNoHalf = errors.New(`must have a half; "" lets both halves share the object`)

func (re *resolver) assign(as Assign) error {
	named := 0
	for _, name := range []string{as.Endpoint, as.Zone, as.Team, as.Service} {
		if name != "" {
			named++
		}
	}
	if named != 1 {
		return errOneKind
	}
	if as.Half == nil {
		return errNoHalf
	}
	half := *as.Half
	switch {
	case as.Endpoint != "":
		en, found := re.Final.Endpoint(as.Endpoint)
		if !found {
			return errNoObject{"endpoint", as.Endpoint}
		}
		if en.Half == half {
			return nil
		}
		return re.drainThenChange(en, withEndpoint(en.WithHalf(half)))
	case as.Zone != "":
		zo, found := re.Final.Zone(as.Zone)
		if !found {
			return errNoObject{"zone", as.Zone}
		}
		return re.changeBoth(nil, func(cf *kind.Configuration) (*kind.Configuration, error) { return cf.WithZone(zo.WithHalf(half)) })
	case as.Team != "":
		te, found := re.Final.Team(as.Team)
		if !found {
			return errNoObject{"team", as.Team}
		}
		return re.changeBoth(nil, func(cf *kind.Configuration) (*kind.Configuration, error) { return cf.WithTeam(te.WithHalf(half)) })
	default:
		se, found := re.Final.Service(as.Service)
		if !found {
			return errNoObject{"service", as.Service}
		}
		return re.changeBoth(nil, func(cf *kind.Configuration) (*kind.Configuration, error) { return cf.WithService(se.WithHalf(half)) })
	}
}
