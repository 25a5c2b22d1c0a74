package scenario

import (
	"time"

	"filbertstall.example/filbertstall/internal/fleet"
)

const (
	// zoneOutLimit is how long new work may still start in a zone after the
	// operator's request to take it out of service.
	zoneOutLimit = 3 * time.Second
	// zoneOutObservation is how long the zone stays out of service after the
	// limit. Work that starts in this time counts as late.
	zoneOutObservation = 3 * time.Second
	// zoneReturnPeriod is the time within which the zone has to receive work
	// again after it was brought back.
	zoneReturnPeriod = 6 * time.Second
)

var zoneScenario = Scenario{
	Name:  "zone",
	About: "A zone is taken out and brought back under load.",
	run:   runZone,
}

// runZone takes zilina-b out of service, counts work that starts there after the
// limit, brings the zone back and checks that it receives work again.
func runZone(st *state) error {
	st.wait(2 * time.Second)
	requestedAt := time.Now()
	if err := st.applyIntent("out", `{"actions": [{"take_zone_out": "zilina-b"}]}`); err != nil {
		return err
	}
	limit := requestedAt.Add(zoneOutLimit)
	st.wait(time.Until(limit.Add(zoneOutObservation)))
	returnAt := time.Now()
	if err := st.countZoneStarts(limit, returnAt, &st.re.LateStarts); err != nil {
		return err
	}
	if err := st.applyIntent("back", `{"actions": [{"bring_zone_back": "zilina-b"}]}`); err != nil {
		return err
	}
	st.wait(zoneReturnPeriod)
	startedAfterReturn := 0
	if err := st.countZoneStarts(returnAt, time.Now(), &startedAfterReturn); err != nil {
		return err
	}
	if startedAfterReturn == 0 {
		st.re.requireZero("zone without work after its return", 1)
	}
	return nil
}

// countZoneStarts adds to count the generations and calls that started in
// zilina-b after from and before until.
func (st *state) countZoneStarts(from, until time.Time, count *int) error {
	for _, en := range st.fl.Report.Endpoints {
		if en.Zone != fleet.Zones[1] {
			continue
		}
		begun, err := countStarts(st.ctx, en.URL, from, until)
		if err != nil {
			return err
		}
		*count += begun
	}
	return nil
}
