package rollout

import (
	"cmp"
	"slices"
	"time"

	"filbertstall.example/filbertstall/internal/roster"
)

// maxInstances limits the instances whose reports are kept for one order.
const maxInstances = 4096

// rowKey identifies a row of a report.
type rowKey struct{ route, endpoint string }

// routeTotals are the fleet's totals of one route.
type routeTotals struct {
	old     Totals
	targets map[string]*Totals
}

// ledger has the totals of one order: this instance's and the fleet's, which include
// them.
type ledger struct {
	// own is the report of this instance without its rows, which are in rows and
	// outliers. unsent is set if it has changed since Registry.Changed returned it.
	own      Report
	rows     map[rowKey]*Totals
	outliers []string
	unsent   bool
	// others has the last report of each other instance.
	others map[string]Report
	// The rest is the fleet's.
	routes             map[string]*routeTotals
	sentOld, sentNew   int
	crashOld, crashNew map[string]bool
}

func newLedger(own Report) *ledger {
	return &ledger{
		own: own, rows: make(map[rowKey]*Totals), others: make(map[string]Report),
		routes: make(map[string]*routeTotals), crashOld: make(map[string]bool), crashNew: make(map[string]bool),
	}
}

// sent counts a request that this instance sends.
func (le *ledger) sent(target bool) {
	if target {
		le.own.SentNew++
		le.sentNew++
	} else {
		le.own.SentOld++
		le.sentOld++
	}
	le.unsent = true
}

// record counts an answer that this instance received.
func (le *ledger) record(en roster.Endpoint, target bool, sa Sample, now time.Time) {
	if sa.LinkLost {
		return
	}
	le.unsent = true
	if sa.Crashed {
		le.crash(processOf(en), target)
		return
	}
	one := Totals{Answers: 1}
	if sa.Failed {
		one.Failures = 1
	} else if !now.Before(en.ColdUntil) {
		one.Latency[bucketOf(sa.Latency)] = 1
	}
	endpoint := ""
	if target {
		endpoint = en.ID
	}
	key := rowKey{sa.Route, endpoint}
	if le.rows[key] == nil && endpoint != "" && len(le.rows) >= maxRows/2 {
		key.endpoint = otherEndpoints
	}
	if le.rows[key] == nil {
		if len(le.rows) >= maxRows {
			return
		}
		le.rows[key] = &Totals{}
	}
	le.rows[key].add(&one)
	le.routeRow(key.route, key.endpoint).add(&one)
}

// crash counts the crash of an endpoint process once.
func (le *ledger) crash(process string, target bool) {
	list, seen := &le.own.CrashedOld, le.crashOld
	if target {
		list, seen = &le.own.CrashedNew, le.crashNew
	}
	seen[process] = true
	if len(*list) < maxCrashes && !slices.Contains(*list, process) {
		*list = append(slices.Clone(*list), process)
	}
}

// processOf identifies an endpoint process.
func processOf(en roster.Endpoint) string {
	return en.ID + "/" + time.UnixMilli(en.Started).UTC().Format("150405.000")
}

// report returns this instance's report.
func (le *ledger) report(age time.Duration) Report {
	re := le.own
	re.Age = age
	re.Rows = make([]Row, 0, len(le.rows)+len(le.outliers))
	for _, id := range le.outliers {
		re.Rows = append(re.Rows, Row{Endpoint: id})
	}
	for key, to := range le.rows {
		re.Rows = append(re.Rows, Row{Route: key.route, Endpoint: key.endpoint, Totals: *to})
	}
	slices.SortFunc(re.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	re.Rows = re.Rows[:min(len(re.Rows), maxRows)]
	return re
}

// setOutliers sets the endpoints that this instance, as an evaluator, names.
func (le *ledger) setOutliers(list []string) {
	if !slices.Equal(list, le.outliers) {
		le.outliers, le.unsent = list, true
	}
}

// outliersOf returns the endpoints that a report names as outliers.
func outliersOf(re Report) (list []string) {
	for _, ro := range re.Rows {
		if ro.Route == "" {
			list = append(list, ro.Endpoint)
		}
	}
	return list
}

// merge replaces what an instance has reported before. It returns false for a report
// that is not newer.
func (le *ledger) merge(instance string, re Report) bool {
	if len(re.Rows) > maxRows {
		re.Rows = re.Rows[:maxRows]
	}
	re.Rows = slices.DeleteFunc(slices.Clone(re.Rows), func(ro Row) bool { return ro.Route == "" })
	before, known := le.others[instance]
	if known && before.Boot == re.Boot && before.Sequence >= re.Sequence {
		return false
	}
	if !known && len(le.others) >= maxInstances {
		return false
	}
	if before.Boot != re.Boot {
		// What an earlier process of the instance has reported stays counted.
		before = Report{}
	}
	le.others[instance] = re
	le.count(before, re)
	for _, process := range re.CrashedOld {
		le.crashOld[process] = true
	}
	for _, process := range re.CrashedNew {
		le.crashNew[process] = true
	}
	return true
}

// count replaces a report by a later one in the fleet's totals. Rows are sorted and
// never go, so that most are at the same place in both.
func (le *ledger) count(before, re Report) {
	le.sentOld += int(re.SentOld) - int(before.SentOld)
	le.sentNew += int(re.SentNew) - int(before.SentNew)
	at := 0
	for ix := range re.Rows {
		ro := &re.Rows[ix]
		if at < len(before.Rows) && before.Rows[at].Route == ro.Route && before.Rows[at].Endpoint == ro.Endpoint {
			was := &before.Rows[at].Totals
			at++
			if *was == ro.Totals {
				continue
			}
			le.routeRow(ro.Route, ro.Endpoint).subtract(was)
		}
		le.routeRow(ro.Route, ro.Endpoint).add(&ro.Totals)
	}
	for ; at < len(before.Rows); at++ {
		le.routeRow(before.Rows[at].Route, before.Rows[at].Endpoint).subtract(&before.Rows[at].Totals)
	}
}

// routeRow returns the fleet's totals for a row.
func (le *ledger) routeRow(route, endpoint string) *Totals {
	rt := le.routes[route]
	if rt == nil {
		rt = &routeTotals{targets: make(map[string]*Totals)}
		le.routes[route] = rt
	}
	if endpoint == "" {
		return &rt.old
	}
	to := rt.targets[endpoint]
	if to == nil {
		to = &Totals{}
		rt.targets[endpoint] = to
	}
	return to
}
