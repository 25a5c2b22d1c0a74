package trace

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Ending says what became of a generation.
type Ending string

// The endings of generations; those of refused ones are Refused and the reason.
const (
	Delivered Ending = "delivered"
	// Paused ones are whole, with a pause over their objective.
	Paused Ending = "delivered_paused"
	// EngineLeft and EngineLost ended with their engine, with and without a notice
	// that had reached the instance.
	EngineLeft Ending = "engine_left"
	EngineLost Ending = "engine_lost"
	// PathCut means that the connection to an engine of another zone was reset.
	PathCut Ending = "path_cut"
	// CallerGone means that the caller left, or that its time was over.
	CallerGone Ending = "caller_gone"
	// InstanceEnded means that the instance started anew meanwhile.
	InstanceEnded Ending = "instance_ended"
	// Open means that the logs end before the generation.
	Open Ending = "open"
	// Refused stands before the reason.
	Refused = "refused_"
)

// Row is one kind of ending with how often it came.
type Row struct {
	Ending Ending
	Count  int
	// Events is how many events callers had got, and Example a request's ID.
	Events  int
	Example string
}

// generation is one that logs tell of.
type generation struct {
	request  string
	instance string
	endpoint string
	begun    int64
	ended    int64
	ending   Ending
	events   int
	paused   bool
}

// losses gathers what logs tell.
type losses struct {
	generations map[string]*generation // by instance and request
	left        map[string]int64       // by instance and endpoint
	zones       map[string]string      // by endpoint
	homes       map[string]string      // zones by instance
	starts      map[string][]int64     // by instance
}

// Losses reads logs of instances, in any order, and returns what became of the
// generations that were placed at engines, the most frequent first.
func Losses(logs io.Reader) ([]Row, error) {
	lo := &losses{
		generations: make(map[string]*generation), left: make(map[string]int64), zones: make(map[string]string),
		homes: make(map[string]string), starts: make(map[string][]int64),
	}
	sc := bufio.NewScanner(logs)
	sc.Buffer(make([]byte, 0, lineBytes/16), lineBytes)
	for sc.Scan() {
		if li, found := parse(sc.Bytes()); found {
			lo.take(li)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	return lo.rows(), nil
}

// take takes in one line.
func (lo *losses) take(li Line) {
	switch li.Event {
	case "started":
		lo.homes[li.Instance] = li.Zone
		lo.starts[li.Instance] = append(lo.starts[li.Instance], li.Time)
		return
	case "endpoint_leaves", "endpoint_gone", "engine_leaves":
		key := li.Instance + "/" + li.Endpoint
		if before, known := lo.left[key]; !known || li.Time < before {
			lo.left[key] = li.Time
		}
	case "placed":
		key := li.Instance + "/" + li.Request
		if lo.generations[key] == nil {
			lo.generations[key] = &generation{request: li.Request, instance: li.Instance, begun: li.Time}
		}
		lo.generations[key].endpoint = li.Endpoint
	}
	if li.Zone != "" && li.Endpoint != "" {
		lo.zones[li.Endpoint] = li.Zone
	}
	if ge := lo.generations[li.Instance+"/"+li.Request]; ge != nil {
		ge.take(li)
	}
}

// take takes in one line about the generation.
func (ge *generation) take(li Line) {
	switch li.Event {
	case "resumed":
		ge.endpoint = li.Target
		return
	case "stream_paused":
		ge.paused = true
		return
	case "delivered":
		ge.ending = Delivered
	case "stream_broken":
		ge.ending = EngineLost
		if strings.Contains(li.Cause, "reset by peer") {
			ge.ending = PathCut
		}
	case "stream_given_up":
		ge.ending = CallerGone
	case "refused":
		ge.ending = Ending(Refused + li.Reason)
	default:
		return
	}
	ge.ended, ge.events = li.Time, li.Events
}

// settle decides what the lines about others make of an ending.
func (lo *losses) settle(ge *generation) Ending {
	switch ge.ending {
	case Delivered:
		if ge.paused {
			return Paused
		}
	case EngineLost, PathCut:
		if left, known := lo.left[ge.instance+"/"+ge.endpoint]; known && left <= ge.ended {
			return EngineLeft
		}
		if ge.ending == PathCut && lo.zones[ge.endpoint] == lo.homes[ge.instance] {
			return EngineLost
		}
	case "":
		if slices.ContainsFunc(lo.starts[ge.instance], func(start int64) bool { return start > ge.begun }) {
			return InstanceEnded
		}
		return Open
	}
	return ge.ending
}

func (lo *losses) rows() []Row {
	byEnding := make(map[Ending]*Row)
	for _, ge := range lo.generations {
		ending := lo.settle(ge)
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
