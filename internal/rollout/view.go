package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/internal/roster"
)

// mode says how requests divide between a target and other versions.
type mode int

const (
	// plain: no order; each known version is used.
	plain mode = iota
	// oldOnly: nothing goes to the target.
	oldOnly
	// shared: a share of the requests goes to the target, also with no old endpoint.
	shared
	// targetOnly: the old versions are not used.
	targetOnly
)

// rule is what applies to one service. It is immutable. The zero rule is that of a
// service that is not known.
type rule struct {
	target string
	mode   mode
	// share is the part of the requests that goes to the target.
	share float64
	// moving is set while runs leave the old endpoints, leaving while they leave the
	// target.
	moving, leaving bool
	// picks is the number of endpoints of the target that get requests, those of the
	// lowest rank, by ID; 0 stands for all.
	picks int
	rank  map[string]int
	// usable has the versions other than the target that may be used. retired has those
	// that a completed order has replaced.
	usable, retired map[string]bool
	// unread is set while the list of orders is older than the first sight of the service,
	// as after a start: any version but the target may be the one in use.
	unread bool
}

// view is what the request path reads.
type view struct{ rules map[string]*rule }

var noRule = &rule{}

// rule returns the rule of a service.
func (vi *view) rule(service string) *rule {
	if vi != nil {
		if ru := vi.rules[service]; ru != nil {
			return ru
		}
	}
	return noRule
}

// Filter returns the endpoints among ready to which a request may go. ready holds
// endpoints of one service. The result must not be changed. request is the request's ID;
// it is empty for a repeated attempt, which never goes to a version on trial if there
// is another.
func (re *Registry) Filter(service, request string, ready []roster.Endpoint) []roster.Endpoint {
	if re.Bounds.Share <= 0 {
		return ready
	}
	ru := re.views.Load().rule(service)
	if ru.acceptsAll(ready) {
		return ready
	}
	var olds, news []roster.Endpoint
	for _, en := range ready {
		switch {
		case ru.target != "" && en.Version == ru.target:
			news = append(news, en)
		case ru.usable[en.Version]:
			olds = append(olds, en)
		}
	}
	switch {
	case ru.mode == targetOnly:
		return append(news, olds...)
	case ru.mode != shared || len(news) == 0:
		return olds
	case len(olds) == 0 && !ru.unread || request != "" && position(service, ru.target, request) < ru.share:
		return ru.pick(news)
	}
	return olds
}

// acceptsAll reports whether no ready endpoint has to be left out.
func (ru *rule) acceptsAll(ready []roster.Endpoint) bool {
	if ru.mode != plain && ru.mode != targetOnly {
		return false
	}
	if len(ru.usable) == 0 && ru.target == "" {
		return oneVersion(ready)
	}
	for ix := range ready {
		if version := ready[ix].Version; !ru.usable[version] && (ru.mode == plain || version != ru.target) {
			return false
		}
	}
	return true
}

// oneVersion reports whether all endpoints have one version.
func oneVersion(list []roster.Endpoint) bool {
	return !slices.ContainsFunc(list, func(en roster.Endpoint) bool { return en.Version != list[0].Version })
}

// position maps a request to a number in [0, 1), the same at all instances.
func position(service, target, request string) float64 {
	return float64(xxhash.Sum64String(service+"/"+target+"/"+request)>>11) / (1 << 53)
}

// pick returns the endpoints of the target that get requests: of those that are ready,
// the first ones by rank.
func (ru *rule) pick(news []roster.Endpoint) []roster.Endpoint {
	if ru.picks <= 0 || len(news) <= ru.picks {
		return news
	}
	rankOf := func(en roster.Endpoint) int {
		if ra, found := ru.rank[en.ID]; found {
			return ra
		}
		return len(ru.rank)
	}
	slices.SortStableFunc(news, func(a, b roster.Endpoint) int { return cmp.Compare(rankOf(a), rankOf(b)) })
	return news[:ru.picks]
}

// Allows reports whether a run may go on at this endpoint now, or a standby copy be
// kept there.
func (re *Registry) Allows(en roster.Endpoint) bool {
	if re.Bounds.Share <= 0 {
		return true
	}
	ru := re.views.Load().rule(en.Service)
	if ru.target == "" || en.Version != ru.target {
		return ru.usable[en.Version] && !ru.moving
	}
	return ru.moving || ru.mode == targetOnly
}

// Leaves reports whether the runs at an endpoint should move to endpoints that Allows
// acceptsAll: off old endpoints while an order is promoted, off the target once it is
// rolled back.
func (re *Registry) Leaves(en roster.Endpoint) bool {
	if re.Bounds.Share <= 0 {
		return false
	}
	ru := re.views.Load().rule(en.Service)
	switch {
	case ru.target == "":
		return false
	case en.Version == ru.target:
		return ru.leaving
	}
	return ru.moving || ru.retired[en.Version]
}
