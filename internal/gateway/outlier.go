package gateway

import (
	"filbertstall.example/filbertstall/internal/outlier"
	"filbertstall.example/filbertstall/internal/placement"
)

// buildOutliers creates the detector of endpoints that fail while others do not, and lets
// it and the failures of zones decide on placements.
func (gw *Gateway) buildOutliers() {
	gw.outliers = outlier.Detector{
		Instance: gw.Settings.Instance, Zone: gw.Settings.Zone, Roster: &gw.roster, Instances: gw.instanceCount,
		Clock: gw.Clock, Log: gw.Log, Scope: gw.metrics.Scope, Changes: gw.tracker.Changes,
	}
	gw.tracker.Outliers = &gw.outliers
	failing := gw.metrics.Scope.Counter("zones_failing")
	gw.tracker.OnZoneFailing = func(fz placement.FailingZone) {
		failing.Inc(1)
		gw.Log.Info().Str("event", "zone_failing").Str("service", fz.Service).Str("zone", fz.Zone).Int("endpoints", fz.Endpoints).
			Msg("gateway: endpoints of a zone can't be reached one after the other; those of other zones go first")
	}
}
