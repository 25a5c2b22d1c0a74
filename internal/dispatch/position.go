package dispatch

import (
	"bytes"
	"errors"
	"hash/maphash"
	"iter"

	"golang.org/x/net/http/httpguts"
)

// errDiverged means that an engine where a run goes on does not send again what it has to:
// the rest of its events can't be told from those that the caller has.
var errDiverged = errors.New("dispatch: the run goes on with other events than those that the caller has")

// errNoPosition means that a run can't go on elsewhere, because too many events have no ID.
var errNoPosition = errors.New("dispatch: too many events without an ID since the last one that has one")

// maxUnnamedEvents limits how many events of one stream are remembered because they have no ID.
const maxUnnamedEvents = 512

// position is the place in a stream behind which its run goes on elsewhere. An engine is told
// the ID of an event. It sends again what follows that one, so that events without an ID come
// twice, unless the caller does not get them again.
type position struct {
	// lastEvent is the ID of the last complete event that has one. Before that, it is the one
	// behind which the caller asked to go on.
	lastEvent string
	// unnamed are the digests of the events behind that one.
	unnamed []uint64
	// due is how many of them, the last ones, the present answer has yet to repeat.
	due int
	// lost is set once there were more than maxUnnamedEvents. It stays.
	lost bool
	// isPlain is set if the answer is no stream of events. What stands in place of one counts
	// as an event with data.
	isPlain bool
}

// arrival is what an event of an answer is at a position.
type arrival int

const (
	// isNext is an event for the caller, or something that is no event.
	isNext arrival = iota
	// isRepeated is an event that the caller has.
	isRepeated
	// isOther is one that stands where another event is due again.
	isOther
)

var digestSeed = maphash.MakeSeed()

// take moves the position behind an event, which is given without its last empty line.
func (po *position) take(event []byte) arrival {
	id, hasData := eventFields(event)
	switch {
	case id != "" && po.due > 0:
		return isOther
	case id != "":
		po.lastEvent, po.unnamed = id, po.unnamed[:0]
	case hasData || po.isPlain:
		return po.takeUnnamed(maphash.Bytes(digestSeed, event))
	}
	return isNext
}

// takeUnnamed moves the position behind an event without an ID.
func (po *position) takeUnnamed(digest uint64) arrival {
	switch {
	case po.due == 0:
		po.lost = po.lost || len(po.unnamed) >= maxUnnamedEvents
		if !po.lost {
			po.unnamed = append(po.unnamed, digest)
		}
		return isNext
	case po.unnamed[len(po.unnamed)-po.due] != digest:
		return isOther
	default:
		po.due--
		return isRepeated
	}
}

// beginAnswer begins with the answer of an engine that was told lastEvent.
func (po *position) beginAnswer() { po.due = len(po.unnamed) }

// eventFields returns the last ID of an event, or an empty string if it has none, and whether
// the event has data. One without data, such as a comment, is not passed to the program that
// reads the stream. A text that can't be sent in a header field is no ID.
func eventFields(event []byte) (id string, hasData bool) {
	for line := range linesOf(event) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			if text := string(bytes.TrimSpace(value)); httpguts.ValidHeaderFieldValue(text) {
				id = text
			}
		case "data":
			hasData = true
		}
	}
	return id, hasData
}

// linesOf returns the lines of an event, which end with a line feed, a carriage return or both.
func linesOf(event []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for part := range bytes.SplitSeq(event, []byte("\n")) {
			for line := range bytes.SplitSeq(part, []byte("\r")) {
				if !yield(line) {
					return
				}
			}
		}
	}
}
