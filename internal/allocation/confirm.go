package allocation

import (
	"context"
	"maps"
	"slices"

	"golang.org/x/sync/errgroup"

	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/pkg/kind"
)

// updateViews adds the current list of members to the views of each zone. The
// candidates for a zone's leases are the zone's own instances, or all
// instances if the zone has none.
func (gt *Granter) updateViews(cf *kind.Configuration) {
	list := gt.Members.Members()
	if len(list) == 0 {
		return
	}
	now := gt.Clock.Now()
	gt.viewLock.Lock()
	defer gt.viewLock.Unlock()
	old := *gt.views.Load()
	next := make(map[string]*views)
	for _, zo := range cf.Zones() {
		vi, found := old[zo.Name]
		if !found {
			vi = &views{}
		}
		next[zo.Name] = vi.with(now, candidates(list, zo.Name))
	}
	gt.views.Store(&next)
}

// listed reports whether the platform's newest list contains an instance.
// Until a list has been read, every instance counts as listed.
func (gt *Granter) listed(name string) bool {
	list := gt.Members.Members()
	return len(list) == 0 || slices.ContainsFunc(list, func(in platform.Instance) bool { return in.Name == name })
}

// candidates returns the names of the instances that may hold the leases of a
// zone: the zone's own instances, or all if it has none.
func candidates(list []platform.Instance, zone string) []string {
	var own, all []string
	for _, in := range list {
		all = append(all, in.Name)
		if in.Zone == zone {
			own = append(own, in.Name)
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

// confirmViews asks the members of each zone whose newest view is not
// confirmed yet, and confirms the view if all of them agree on it.
func (gt *Granter) confirmViews(ctx context.Context) {
	for zone, vi := range *gt.views.Load() {
		if !vi.confirmed && gt.isCandidate(zone) && vi.coversOlder(gt.Clock.Now()) && gt.membersAgree(ctx, zone, vi.newest()) {
			gt.confirmView(zone, vi)
		}
	}
}

// membersAgree reports whether all members have the same newest view, and none
// of them has an older view with another instance that may still use a share.
func (gt *Granter) membersAgree(ctx context.Context, zone string, members []string) bool {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	addresses := make(map[string]string)
	for _, in := range gt.Members.Members() {
		addresses[in.Name] = in.Peer
	}
	var eg errgroup.Group
	for _, name := range members {
		eg.Go(func() error {
			var reply ViewReply
			if err := gt.call(ctx, addresses[name], "View", &ViewArgs{Zone: zone}, &reply); err != nil {
				return err
			}
			if !reply.Closed || !slices.Equal(reply.Members, members) {
				return context.Canceled
			}
			return nil
		})
	}
	return eg.Wait() == nil
}

// confirmView marks the newest view of a zone as confirmed and drops the older
// ones, unless the views were replaced in the meantime.
func (gt *Granter) confirmView(zone string, vi *views) {
	gt.viewLock.Lock()
	defer gt.viewLock.Unlock()
	old := *gt.views.Load()
	if old[zone] != vi {
		return
	}
	next := maps.Clone(old)
	next[zone] = vi.withConfirmed()
	gt.views.Store(&next)
}
