package allocation

import (
	"context"

	"golang.org/x/sync/errgroup"

	"filbertstall.example/filbertstall/pkg/kind"
)

// reportsLoad reports whether the endpoints of a service publish load reports.
// Endpoints of plain services do not, and would take the poll for an ordinary
// request.
func (gt *Granter) reportsLoad(service string) bool {
	cf := gt.Configuration.Load()
	if cf == nil {
		return false
	}
	se, found := cf.Service(service)
	return found && se.Type == kind.ServiceModel
}

// poll reads the load and the cache events of all endpoints of the groups
// whose lease this instance holds.
func (gt *Granter) poll(context.Context) {
	cf := gt.Configuration.Load()
	var eg errgroup.Group
	for _, ho := range gt.activeHolders() {
		if !gt.reportsLoad(ho.group.Service) {
			continue
		}
		for _, en := range ho.group.endpoints(cf) {
			eg.Go(func() error {
				gt.pollEndpoint(ho, en)
				return nil
			})
		}
	}
	_ = eg.Wait()
}

func (gt *Granter) pollEndpoint(ho *holder, en kind.Endpoint) {
	asked := gt.Clock.Now()
	lo, err := gt.Endpoints.Load(en.URL)
	if err != nil {
		ho.pollFailed(gt.Clock.Now(), en.Name)
		return
	}
	ho.report(asked, gt.Clock.Now(), en.Name, lo)
	list, err := gt.Endpoints.CacheEvents(en.URL, ho.cacheSequence(en.Name))
	if err == nil && len(list) > 0 {
		ho.cacheEvents(gt.Clock.Now(), en.Name, list)
	}
}

// pollDisconnected reads the load of the endpoints of groups whose holder
// cannot be reached. Grants from this instance's own share depend on it.
func (gt *Granter) pollDisconnected(context.Context) {
	cf := gt.Configuration.Load()
	now := gt.Clock.Now()
	var eg errgroup.Group
	for _, li := range gt.allLinks() {
		if !li.hasShare() || li.sending(now) || !gt.reportsLoad(li.group.Service) {
			continue
		}
		for _, en := range li.group.endpoints(cf) {
			eg.Go(func() error {
				gt.pollForLink(li, en)
				return nil
			})
		}
	}
	_ = eg.Wait()
}

func (gt *Granter) pollForLink(li *link, en kind.Endpoint) {
	asked := gt.Clock.Now()
	report, err := gt.Endpoints.Load(en.URL)
	if err != nil {
		return
	}
	li.mu.Lock()
	defer li.mu.Unlock()
	lo, found := li.loads[en.Name]
	if !found {
		lo = &observedLoad{}
		li.loads[en.Name] = lo
	}
	lo.asked, lo.report = asked, report
}
