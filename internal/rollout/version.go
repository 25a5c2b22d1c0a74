package rollout

import "time"

// forgetPeriod is how long a removed order is remembered, and how long a version without
// endpoints is. A store that is restored comes back from a copy that is seconds old.
const forgetPeriod = time.Minute

// version is what is known of one version of a service.
type version struct {
	// seenAt is when its first endpoint was seen, presentAt when the last one was.
	seenAt, presentAt time.Time
	// known is set once the list of orders is at least as new as seenAt. Before, an
	// order may name the version that this instance has not read yet.
	known bool
	// withdrawn is set after an order for it was removed before it was completed.
	withdrawn bool
}

// version returns the entry of a version.
func (se *service) version(name string, now time.Time) *version {
	ve := se.versions[name]
	if ve == nil {
		ve = &version{seenAt: now, presentAt: now}
		se.versions[name] = ve
	}
	return ve
}

// observe enters the versions of the present endpoints. The first version of a service
// is used at once if it is the only one.
func (se *service) observe(now time.Time) {
	if len(se.versions) == 0 {
		se.firstSeen = now
	}
	for _, en := range se.endpoints {
		se.version(en.Version, now).presentAt = now
	}
	se.useOnlyVersion()
	for name, ve := range se.versions {
		if now.Sub(ve.presentAt) > forgetPeriod && (se.rollout == nil || se.rollout.order.Target != name) {
			delete(se.versions, name)
		}
	}
}

// useOnlyVersion marks the version that was in use before this instance first saw the
// service, if only one can be: the target of an order was not, unless the order was
// completed.
func (se *service) useOnlyVersion() {
	var only *version
	for name, ve := range se.versions {
		switch {
		case ve.known || !ve.seenAt.Equal(se.firstSeen):
			return
		case se.rollout != nil && se.rollout.order.Target == name && se.rollout.state != Completed:
		case only != nil:
			return
		default:
			only = ve
		}
	}
	if only != nil {
		only.known = true
	}
}

// idle reports whether nothing needs to be remembered of the service.
func (se *service) idle() bool {
	return len(se.endpoints)+len(se.versions) == 0 && se.rollout == nil
}

// confirmVersions marks the versions that the list of orders covers. It reports whether
// there are any that were not known.
func (re *Registry) confirmVersions() bool {
	changed := false
	for _, se := range re.services {
		for _, ve := range se.versions {
			if !ve.known && !re.confirmedAt.Before(ve.seenAt) {
				ve.known, changed = true, true
			}
		}
	}
	return changed
}
