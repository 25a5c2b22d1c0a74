package loadshare

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"filbertstall.example/filbertstall/internal/rollout"
)

// rolloutVersion is the first number of a datagram with reports of roll-outs. Instances
// that don't know it drop the datagram.
const rolloutVersion = 6

const (
	// minReportInterval is the minimum time between two datagrams with reports, unless
	// a version was found bad, and reportIntervalPerInstance what each instance adds to
	// it, up to heartbeat, so that the load of those that evaluate stays bounded.
	minReportInterval         = 100 * time.Millisecond
	reportIntervalPerInstance = 2 * time.Millisecond
	// maxReportRows limits the rows of one datagram. Further rows go in others.
	maxReportRows = 64
)

// Rollouts has what instances report of roll-outs. rollout.Registry implements it.
type Rollouts interface {
	// Changed returns the reports of this instance, and whether they differ from those
	// that the previous call returned.
	Changed() (list []rollout.Report, unsent bool)
	// Merge records the reports of another instance.
	Merge(instance string, list []rollout.Report)
}

// reportState is what was last sent of the reports.
type reportState struct {
	sentAt time.Time
	// unsent is set if there is something new since then.
	unsent bool
	// stopped is the number of sent reports that a version is bad.
	stopped int
}

// SendReports sends the reports of this instance, if there is something new or if they
// are due to be repeated. Reports of an evaluator, and those that report that a version is
// bad, go to all instances; others go to the instances that evaluators returns, which
// evaluate the service. One goroutine calls it several times a second.
func (ex *Exchange) SendReports(evaluators func(service string) []Member) {
	if ex.Rollouts == nil {
		return
	}
	list, changed := ex.Rollouts.Changed()
	if len(list) == 0 {
		return
	}
	rs := &ex.reports
	rs.unsent = rs.unsent || changed
	stopped := 0
	for _, re := range list {
		if re.Verdict == rollout.RolledBack {
			stopped++
		}
	}
	now := ex.Clock.Now()
	if stopped <= rs.stopped && !ex.reportsDue(now.Sub(rs.sentAt)) {
		return
	}
	*rs = reportState{sentAt: now, stopped: stopped}
	ex.sendList(list, evaluators)
}

// reportsDue reports whether reports are sent again after a time since the last ones.
func (ex *Exchange) reportsDue(since time.Duration) bool {
	interval := min(minReportInterval+time.Duration(len(ex.Members.List()))*reportIntervalPerInstance, heartbeat)
	return since >= heartbeat || ex.reports.unsent && since >= interval
}

// sendList sends each report to the instances that need it.
func (ex *Exchange) sendList(list []rollout.Report, evaluators func(service string) []Member) {
	for _, re := range list {
		data := encodeReport(ex.Instance, re)
		if re.Evaluator || re.Verdict == rollout.RolledBack {
			ex.sendToAll(data)
			continue
		}
		for _, me := range evaluators(re.Service) {
			if me.Name != ex.Instance {
				ex.sendTo(me.Address, data)
			}
		}
	}
}

func (ex *Exchange) sendTo(to netip.AddrPort, data []byte) {
	// A failed send is ignored: reports are repeated.
	_, _ = ex.Conn.WriteToUDPAddrPort(data, to)
}

// encodeReport returns the datagram of a report. Ages are in microseconds, shares are
// the bits of the number.
func encodeReport(instance string, re rollout.Report) []byte {
	data := binary.AppendUvarint(nil, rolloutVersion)
	data = appendString(data, instance)
	data = appendString(data, re.Service)
	data = appendString(data, re.Target)
	data = binary.AppendUvarint(data, re.Boot)
	data = binary.AppendUvarint(data, re.Sequence)
	data = binary.AppendUvarint(data, uint64(max(re.Age, 0)/time.Microsecond))
	data = binary.AppendUvarint(data, uint64(max(re.Verdict, 0)))
	data = appendFlag(data, re.Evaluator)
	data = binary.AppendUvarint(data, math.Float64bits(re.Share))
	data = binary.AppendUvarint(data, uint64(re.SentOld))
	data = binary.AppendUvarint(data, uint64(re.SentNew))
	data = appendStrings(data, re.CrashedOld)
	data = appendStrings(data, re.CrashedNew)
	rows := re.Rows[:min(len(re.Rows), maxReportRows)]
	data = binary.AppendUvarint(data, uint64(len(rows)))
	for _, ro := range rows {
		data = appendString(data, ro.Route)
		data = appendString(data, ro.Endpoint)
		data = binary.AppendUvarint(data, uint64(ro.Totals.Answers))
		data = binary.AppendUvarint(data, uint64(ro.Totals.Failures))
		data = appendLatency(data, ro.Totals.Latency)
	}
	return data
}

func appendStrings(data []byte, list []string) []byte {
	data = binary.AppendUvarint(data, uint64(len(list)))
	for _, text := range list {
		data = appendString(data, text)
	}
	return data
}

// appendLatency appends the buckets of a histogram that are not empty, by number.
func appendLatency(data []byte, latency [rollout.LatencyBuckets]uint32) []byte {
	filled := 0
	for _, count := range latency {
		if count > 0 {
			filled++
		}
	}
	data = binary.AppendUvarint(data, uint64(filled))
	for ix, count := range latency {
		if count > 0 {
			data = binary.AppendUvarint(data, uint64(ix))
			data = binary.AppendUvarint(data, uint64(count))
		}
	}
	return data
}

// isReport reports whether a datagram has a report of a roll-out.
func isReport(data []byte) bool { return len(data) > 0 && data[0] == rolloutVersion }

// decodeReport parses a datagram with a report, or returns ErrMalformed.
func decodeReport(data []byte) (instance string, re rollout.Report, err error) {
	rd := reader{data: data}
	if rd.uvarint() != rolloutVersion {
		return "", re, ErrMalformed
	}
	instance = rd.stringValue()
	re = rollout.Report{Service: rd.stringValue(), Target: rd.stringValue(), Boot: rd.uvarint(), Sequence: rd.uvarint()}
	re.Age = time.Duration(rd.count()) * time.Microsecond
	re.Verdict = rollout.State(rd.count())
	re.Evaluator = rd.uvarint() != 0
	re.Share = math.Float64frombits(rd.uvarint())
	re.SentOld, re.SentNew = rd.count32(), rd.count32()
	re.CrashedOld, re.CrashedNew = rd.strings(), rd.strings()
	rows := rd.listLength()
	for ix := 0; ix < rows && !rd.malformed; ix++ {
		ro := rollout.Row{Route: rd.stringValue(), Endpoint: rd.stringValue()}
		ro.Totals.Answers, ro.Totals.Failures = rd.count32(), rd.count32()
		rd.latency(&ro.Totals.Latency)
		re.Rows = append(re.Rows, ro)
	}
	// A share that is not a number fails both comparisons.
	valid := re.Share >= 0 && re.Share <= 1 && re.Verdict <= rollout.RolledBack
	if rd.malformed || len(rd.data) > 0 || instance == "" || !valid {
		return "", rollout.Report{}, ErrMalformed
	}
	return instance, re, nil
}

// strings reads a list of strings.
func (re *reader) strings() (list []string) {
	length := re.listLength()
	for ix := 0; ix < length && !re.malformed; ix++ {
		list = append(list, re.stringValue())
	}
	return list
}

// latency reads the buckets of a histogram.
func (re *reader) latency(into *[rollout.LatencyBuckets]uint32) {
	filled := re.listLength()
	for ix := 0; ix < filled && !re.malformed; ix++ {
		bucket := re.uvarint()
		if bucket >= rollout.LatencyBuckets {
			re.malformed = true
			return
		}
		into[bucket] = re.count32()
	}
}

// count32 reads a count of 32 bits. Larger values make the datagram malformed.
func (re *reader) count32() uint32 {
	number := re.uvarint()
	if number > math.MaxUint32 {
		re.malformed = true
		return 0
	}
	return uint32(number)
}

// applyReport records a report in a datagram of another instance.
func (ex *Exchange) applyReport(data []byte) {
	instance, re, err := decodeReport(data)
	if err != nil {
		ex.Log.Info().Str("event", "report_unreadable").Err(err).Msg("loadshare: dropped a datagram that could not be decoded")
		return
	}
	if ex.Rollouts != nil && instance != ex.Instance {
		ex.Rollouts.Merge(instance, []rollout.Report{re})
	}
}
