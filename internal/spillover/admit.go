package spillover

import (
	"github.com/cespare/xxhash/v2"

	"filbertstall.example/filbertstall/internal/placement"
)

// shortShare is the share up to which only requests with short answers leave the zone.
const shortShare = 0.5

// admit returns the zones that one request may be sent to.
func (sv *service) admit(dm placement.Demand, home string) placement.Admission {
	zo := sv.zones[home]
	switch {
	case zo == nil:
		// Nothing has been computed yet.
		return placement.Admission{Restricted: true, Home: true}
	case !sv.hasRemoteZones:
		return placement.Admission{}
	}
	ad := placement.Admission{Restricted: true, Home: true, Lenders: zo.lenders, Margin: sv.part(leaveShare)}
	switch {
	case zo.absent:
		// Cold endpoints of the zone stay candidates.
		ad.Leaves = true
	case zo.share == 0 || len(zo.lenders) == 0:
	case zo.returning:
		ad.Leaves = position(dm.Request) < zo.share
		ad.Home = !ad.Leaves
	default:
		ad.Leaves = position(dm.Request) < sv.shareFor(zo.share, dm)
		// A call to a plain service is over before its load is told, so that instances
		// cannot tell by loads where it runs sooner.
		ad.Home = !ad.Leaves || dm.Engine != nil
	}
	return ad
}

// shareFor returns the share of requests like dm that leave: the requests with short
// answers leave first.
func (sv *service) shareFor(share float64, dm placement.Demand) float64 {
	switch {
	case dm.Engine == nil:
		return share
	case dm.Output <= sv.typical.Output:
		return share / shortShare
	default:
		return (share - shortShare) / (1 - shortShare)
	}
}

// position returns a stable number in [0, 1) for a request, alike on all instances.
func position(request string) float64 {
	const steps = 1 << 32
	return float64(xxhash.Sum64String(request)%steps) / steps
}
