package dispatch

import (
	"strings"

	"filbertstall.example/filbertstall/internal/upstream"
)

// eventStreamType is the media type of a stream of server-sent events.
const eventStreamType = "text/event-stream"

// hasEvents reports whether the body of an answer on a streaming route consists of events.
// An answer that names no media type is taken for one.
func hasEvents(an *upstream.Answer) bool {
	named, _, _ := strings.Cut(an.Get("Content-Type"), ";")
	named = strings.TrimSpace(named)
	return named == "" || strings.EqualFold(named, eventStreamType)
}

// eventLines follows the lines of a stream of server-sent events. A line ends with a line
// feed, a carriage return or both, and an event with an empty line. A line that begins with
// a colon is a comment and belongs to no event.
type eventLines struct {
	// isPlain is set if the caller was told that the answer is no stream of events. Nothing in
	// it is unfinished.
	isPlain bool
	// inLine is set while a line has begun and not ended, inComment if it is a comment.
	inLine, inComment bool
	// inEvent is set while an event has a line and not yet its empty line.
	inEvent bool
	// afterReturn is set directly behind a carriage return.
	afterReturn bool
}

// add takes the next part of the stream.
func (el *eventLines) add(part []byte) {
	if el.isPlain {
		return
	}
	for _, ch := range part {
		endsBoth := ch == '\n' && el.afterReturn
		el.afterReturn = ch == '\r'
		switch {
		case endsBoth:
			// The line has ended with the carriage return.
		case ch == '\n' || ch == '\r':
			el.endLine()
		case !el.inLine:
			el.inLine, el.inComment = true, ch == ':'
		}
	}
}

// endLine ends a line, and with an empty one the event.
func (el *eventLines) endLine() {
	el.inEvent = el.inLine && (el.inEvent || !el.inComment)
	el.inLine, el.inComment = false, false
}

// unfinished reports whether the stream would end inside an event or a line.
func (el *eventLines) unfinished() bool { return el.inLine || el.inEvent }
