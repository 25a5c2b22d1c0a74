package bench

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"filbertstall.example/filbertstall/internal/slope"
)

// slopes is the command that extrapolates measurements linearly to the size that
// the design targets.
type slopes struct{ out io.Writer }

// slopeRow is one row of the capacity table.
type slopeRow struct {
	role, quantity, unit string
	// series and metric select the measurement.
	series, metric string
	// size is the size to extrapolate to. The extrapolated value is multiplied
	// by factor, which converts it to unit.
	size, factor float64
	// limit is zero if no limit is stated.
	limit float64
	// mechanism is the part of the design that determines the value.
	mechanism string
}

const (
	microsPerSecond = 1e6
	nanosPerSecond  = 1e9
	secondsPerDay   = 86400
)

// slopeRows returns the rows of the table, ordered by role.
func slopeRows(ta target) []slopeRow {
	daemonTokens := ta.perDaemon(ta.tokensPerSecond)
	groupRequests := ta.requestsPerSecond / ta.groups()
	groupEndpoints := ta.replicas / ta.groups()
	changes := ta.changesPerDay / secondsPerDay
	return []slopeRow{
		{"entry relay", "processor time", "cores", "relay", "cpu_us_per_s", daemonTokens, 1 / microsPerSecond, 0, "one read and one write of the kernel for each token"},
		{"entry relay", "memory of open streams", "MB", "streams", "held_bytes", ta.perDaemon(ta.openStreams()), 1e-6, 0, "fixed buffers of a stream"},
		{"allocator", "processor time of decisions", "cores", "grant", "ns_per_grant", groupEndpoints, groupRequests / nanosPerSecond, controlCores, "ordered index over endpoints, survival curves"},
		{"allocator", "messages of its group", "1/s", "allocation", "messages_per_s", groupRequests, 1, 0, "grants and batched progress"},
		{"allocator", "bytes of its group", "KB/s", "allocation", "bytes_per_s", groupRequests, 1e-3, controlBytesPerSec / 1e3, "grants and batched progress"},
		{"watcher", "size of the configuration", "MB", "configuration", "json_bytes", ta.replicas, 1e-6, 0, "shards by content"},
		{"watcher", "memory of one version", "MB", "configuration", "heap_bytes", ta.replicas, 1e-6, controlBytes / 1e6, "one immutable version and its indexes"},
		{"watcher", "decoding of changes", "cores", "configuration", "decode_us", ta.replicas, changes / microsPerSecond, controlCores, "whole decode for each change"},
		{"peer", "messages of a daemon", "1/s", "control", "messages_per_s", ta.daemons, 1, 0, "mesh in a zone, sparse between zones"},
		{"peer", "payload of a daemon", "KB/s", "control", "bytes_per_s", ta.daemons, 1e-3, 0, "the same"},
		{"peer", "payload and headers of a daemon", "KB/s", "control", "wire_bytes_per_s", ta.daemons, 1e-3, controlBytesPerSec / 1e3, "104 bytes of headers a message"},
		{"watcher, peer, plans", "platform reads of all", "1/s", "control", "fleet_reads_per_s", ta.daemons, 1, platformReads, "few watchers a zone, the list read more rarely as the fleet grows"},
		{"watcher, peer, plans", "platform writes of all", "1/s", "control", "fleet_writes_per_s", ta.daemons, 1, platformWrites, "only changes and plans are written"},
		{"record of calls", "platform writes at 1,000 keyed calls/s", "1/s", "record", "writes_per_s", 1000, 1, platformWrites, "changes of a shard in one conditional update"},
		{"record of calls", "platform reads at 1,000 keyed calls/s", "1/s", "record", "reads_per_s", 1000, 1, platformReads, "the same"},
	}
}

// Execute implements flags.Commander. It reads test output with measurements from
// standard input and prints a Markdown table.
func (sl *slopes) Execute([]string) error {
	me, err := slope.Read(os.Stdin)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(sl.out, "| role | quantity | measured at | slope | at the target | limit | carried by |")
	_, _ = fmt.Fprintln(sl.out, "| --- | --- | --- | --- | --- | --- | --- |")
	over := 0
	for _, ro := range slopeRows(designTarget) {
		fi, ok := me.Fit(ro.series, ro.metric)
		if !ok {
			_, _ = fmt.Fprintf(sl.out, "| %s | %s, %s | not measured | | | | %s |\n", ro.role, ro.quantity, ro.unit, ro.mechanism)
			continue
		}
		value := fi.At(ro.size) * ro.factor
		_, _ = fmt.Fprintf(sl.out, "| %s | %s, %s | %s | %s per unit | %s at %s | %s | %s |\n", ro.role, ro.quantity, ro.unit,
			describePoints(fi.Points), formatValue(fi.Slope), formatValue(value), formatValue(ro.size), ro.limitText(value, &over), ro.mechanism)
	}
	_, _ = fmt.Fprintf(sl.out, "\n%d quantities over their limit.\n", over)
	return nil
}

// limitText formats the limit, and marks it and increments over if value exceeds
// it.
func (ro slopeRow) limitText(value float64, over *int) string {
	switch {
	case ro.limit == 0:
		return "none stated"
	case value > ro.limit:
		*over++
		return formatValue(ro.limit) + ", **over**"
	default:
		return formatValue(ro.limit)
	}
}

func describePoints(points []slope.Point) string {
	parts := make([]string, 0, len(points))
	for _, po := range points {
		part := formatValue(po.Median) + " at " + formatValue(po.Size)
		if po.Least < po.Most {
			part += " (" + formatValue(po.Least) + " to " + formatValue(po.Most) + ")"
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, "; ")
}

// significantDigits is the precision of values in the table.
const significantDigits = 3

func formatValue(value float64) string { return strconv.FormatFloat(value, 'g', significantDigits, 64) }
