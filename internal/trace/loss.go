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
	// events that exceeded the route's objective.
	EndingPaused Ending = "delivered_paused"
	// EndingEngineDrained and EndingEngineLost mean that the engine ended before
	// the generation. The instance had received the engine's notice before the
	// stream broke in the first case, and had not in the second.
	EndingEngineDrained Ending = "engine_left"
	EndingEngineLost    Ending = "engine_lost"
	// EndingPathInterrupted means that the connection to an engine of another zone
	// was reset.
	EndingPathInterrupted Ending = "path_cut"
	// EndingCallerGone means that the caller disconnected or its timeout expired.
	EndingCallerGone Ending = "caller_gone"
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

// lossCounter collects generations and the events that explain their endings.
type lossCounter struct {
	generations   map[string]*generation // by instance and request
	departures    map[string]int64       // time of the first notice, by instance and endpoint
	endpointZones map[string]string      // by endpoint
	instanceZones map[string]string      // by instance
	starts        map[string][]int64     // by instance
}

// Losses reads the logs of instances and counts the endings of the generations that
// were placed on engines. The logs may be in any order. The most frequent ending
// comes first.
func Losses(logs io.Reader) ([]Row, error) {
	lo := &lossCounter{
		generations: make(map[string]*generation), departures: make(map[string]int64), endpointZones: make(map[string]string),
		instanceZones: make(map[string]string), starts: make(map[string][]int64),
	}
	sc := bufio.NewScanner(logs)
	sc.Buffer(make([]byte, 0, maxLineBytes/16), maxLineBytes)
	for sc.Scan() {
		if li, found := parse(sc.Bytes()); found {
			lo.add(li)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	return lo.rows(), nil
}

// add processes one line.
func (lo *lossCounter) add(li Line) {
	switch li.Event {
	case "started":
		lo.instanceZones[li.Instance] = li.Zone
		lo.starts[li.Instance] = append(lo.starts[li.Instance], li.Time)
		return
	case "endpoint_leaves", "endpoint_gone", "engine_leaves":
		key := li.Instance + "/" + li.Endpoint
		if earliest, known := lo.departures[key]; !known || li.Time < earliest {
			lo.departures[key] = li.Time
		}
	case "placed":
		key := li.Instance + "/" + li.Request
		if lo.generations[key] == nil {
			lo.generations[key] = &generation{request: li.Request, instance: li.Instance, startTime: li.Time}
		}
		lo.generations[key].endpoint = li.Endpoint
	}
	if li.Zone != "" && li.Endpoint != "" {
		lo.endpointZones[li.Endpoint] = li.Zone
	}
	if ge := lo.generations[li.Instance+"/"+li.Request]; ge != nil {
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
	case "refused":
		ge.ending = Ending(RefusedPrefix + li.Reason)
	default:
		return
	}
	ge.endTime, ge.events = li.Time, li.Events
}

// finalEnding returns the ending of a generation, taking into account the lines
// about its engine, its zone and its instance.
func (lo *lossCounter) finalEnding(ge *generation) Ending {
	switch ge.ending {
	case EndingDelivered:
		if ge.paused {
			return EndingPaused
		}
	case EndingEngineLost, EndingPathInterrupted:
		if departure, known := lo.departures[ge.instance+"/"+ge.endpoint]; known && departure <= ge.endTime {
			return EndingEngineDrained
		}
		if ge.ending == EndingPathInterrupted && lo.endpointZones[ge.endpoint] == lo.instanceZones[ge.instance] {
			return EndingEngineLost
		}
	case "":
		if slices.ContainsFunc(lo.starts[ge.instance], func(start int64) bool { return start > ge.startTime }) {
			return EndingInstanceRestarted
		}
		return EndingOpen
	}
	return ge.ending
}

func (lo *lossCounter) rows() []Row {
	byEnding := make(map[Ending]*Row)
	for _, ge := range lo.generations {
		ending := lo.finalEnding(ge)
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
