package trace

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Ending is the way in which a generation ended.
type Ending string

// The endings of generations. That of a refused generation is RefusedPrefix
// followed by the reason of the refusal.
const (
	EndingDelivered Ending = "delivered"
	// EndingPaused means that all events were delivered, with a gap between two
	// events that exceeded the route's MaxGap.
	EndingPaused Ending = "delivered_paused"
	// EndingEngineDrained and EndingEngineLost mean that the engine stopped before
	// the generation was complete. In the first case, the instance knew before the
	// stream broke that the engine was draining or removed.
	EndingEngineDrained Ending = "engine_left"
	EndingEngineLost    Ending = "engine_lost"
	// EndingPathInterrupted means that the connection to an engine of another zone
	// was reset.
	EndingPathInterrupted Ending = "path_cut"
	// EndingCallerGone means that the caller disconnected or its timeout expired.
	EndingCallerGone Ending = "caller_gone"
	// EndingShutdown means that the instance cut the generation at the end of its
	// shutdown.
	EndingShutdown Ending = "cut_by_shutdown"
	// EndingInstanceRestarted means that the instance restarted during the
	// generation.
	EndingInstanceRestarted Ending = "instance_ended"
	// EndingOpen means that the logs end before the generation.
	EndingOpen Ending = "open"
	// RefusedPrefix precedes the reason of a refusal.
	RefusedPrefix = "refused_"
)

// Row counts the generations with one ending.
type Row struct {
	Ending Ending
	Count  int
	// Events is the number of events that callers received in all of them, and
	// Example the ID of one of the requests.
	Events  int
	Example string
}

// generation collects what the logs contain about one generation. Times are in
// Unix milliseconds.
type generation struct {
	request   string
	instance  string
	endpoint  string
	startTime int64
	endTime   int64
	ending    Ending
	events    int
	paused    bool
}

// endingCounter collects generations and the events that explain their endings.
// Times are in Unix milliseconds.
type endingCounter struct {
	generations   map[string]*generation // by instance and request
	departures    map[string]int64       // earliest time of a drain or removal, by instance and endpoint
	endpointZones map[string]string      // by endpoint
	instanceZones map[string]string      // by instance
	starts        map[string][]int64     // start times, by instance
}

// CountEndings reads the logs of instances and counts the endings of the
// generations that were placed on engines. The logs may be in any order. The
// most frequent ending comes first.
func CountEndings(logs io.Reader) ([]Row, error) {
	ec := &endingCounter{
		generations: make(map[string]*generation), departures: make(map[string]int64), endpointZones: make(map[string]string),
		instanceZones: make(map[string]string), starts: make(map[string][]int64),
	}
	sc := bufio.NewScanner(logs)
	sc.Buffer(make([]byte, 0, maxLineBytes/16), maxLineBytes)
	for sc.Scan() {
		if li, found := parse(sc.Bytes()); found {
			ec.add(li)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	return ec.rows(), nil
}

// add processes one line.
func (ec *endingCounter) add(li Line) {
	switch li.Event {
	case "started":
		ec.instanceZones[li.Instance] = li.Zone
		ec.starts[li.Instance] = append(ec.starts[li.Instance], li.Time)
		return
	case "endpoint_leaves", "endpoint_gone", "engine_leaves":
		key := li.Instance + "/" + li.Endpoint
		if earliest, known := ec.departures[key]; !known || li.Time < earliest {
			ec.departures[key] = li.Time
		}
	case "placed":
		key := li.Instance + "/" + li.Request
		if ec.generations[key] == nil {
			ec.generations[key] = &generation{request: li.Request, instance: li.Instance, startTime: li.Time}
		}
		ec.generations[key].endpoint = li.Endpoint
	}
	if li.Zone != "" && li.Endpoint != "" {
		ec.endpointZones[li.Endpoint] = li.Zone
	}
	if ge := ec.generations[li.Instance+"/"+li.Request]; ge != nil {
		ge.add(li)
	}
}

// add processes one line about the generation.
func (ge *generation) add(li Line) {
	switch li.Event {
	case "resumed":
		ge.endpoint = li.Target
		return
	case "stream_paused":
		ge.paused = true
		return
	case "delivered":
		ge.ending = EndingDelivered
	case "stream_broken":
		ge.ending = EndingEngineLost
		if strings.Contains(li.Cause, "reset by peer") {
			ge.ending = EndingPathInterrupted
		}
	case "stream_given_up":
		ge.ending = EndingCallerGone
	case "shutdown_cut":
		ge.ending = EndingShutdown
	case "refused":
		ge.ending = Ending(RefusedPrefix + li.Reason)
	default:
		return
	}
	ge.endTime, ge.events = li.Time, li.Events
}

// finalEnding returns the ending of a generation, taking into account the lines
// about its engine, its zone and its instance.
func (ec *endingCounter) finalEnding(ge *generation) Ending {
	switch ge.ending {
	case EndingDelivered:
		if ge.paused {
			return EndingPaused
		}
	case EndingEngineLost, EndingPathInterrupted:
		if departure, known := ec.departures[ge.instance+"/"+ge.endpoint]; known && departure <= ge.endTime {
			return EndingEngineDrained
		}
		if ge.ending == EndingPathInterrupted && ec.endpointZones[ge.endpoint] == ec.instanceZones[ge.instance] {
			return EndingEngineLost
		}
	case "":
		if slices.ContainsFunc(ec.starts[ge.instance], func(start int64) bool { return start > ge.startTime }) {
			return EndingInstanceRestarted
		}
		return EndingOpen
	}
	return ge.ending
}

func (ec *endingCounter) rows() []Row {
	byEnding := make(map[Ending]*Row)
	for _, ge := range ec.generations {
		ending := ec.finalEnding(ge)
		ro := byEnding[ending]
		if ro == nil {
			ro = &Row{Ending: ending, Example: ge.request}
			byEnding[ending] = ro
		}
		ro.Count++
		ro.Events += ge.events
		ro.Example = min(ro.Example, ge.request)
	}
	rows := make([]Row, 0, len(byEnding))
	for _, ro := range byEnding {
		rows = append(rows, *ro)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Ending, b.Ending))
	})
	return rows
}
