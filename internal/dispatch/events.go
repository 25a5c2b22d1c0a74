package dispatch

import (
	"bytes"
	"errors"
	"slices"
)

// maxEventBytes limits one event. An endpoint that sends more without ending it sends no
// events.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("dispatch: an event is too large")

// smallPendingBytes is the size up to which the pending data of a stream is not taken
// from Dispatcher.Memory.
const smallPendingBytes = 2 * readBufferBytes

// fitsInMemory reports whether the pending data is within its limits, and takes its
// memory.
func (se *session) fitsInMemory() bool {
	if len(se.pending)-se.completeBytes > maxEventBytes {
		return false
	}
	held := cap(se.pending)
	return held <= smallPendingBytes || se.memory.Resize(int64(held))
}

var eventDelimiter = []byte("\n\n")

// scanEvents counts the complete events in pending, and removes those that the caller has.
// It returns the number of both.
func (se *session) scanEvents() (arrived int) {
	for se.scanErr == nil {
		// The delimiter may begin with the last byte that was scanned.
		from := max(se.completeBytes, se.scannedBytes-len(eventDelimiter)+1)
		end := bytes.Index(se.pending[from:], eventDelimiter)
		if end < 0 {
			se.scannedBytes = len(se.pending)
			break
		}
		end += from - se.completeBytes
		event := se.pending[se.completeBytes : se.completeBytes+end]
		if beginsAnswer(event) {
			se.scanErr = errMixed
			break
		}
		se.takeEvent(event, end+len(eventDelimiter))
		arrived++
	}
	if se.run != nil {
		se.run.SetEvents(se.events)
	}
	return arrived
}

// takeEvent takes the next event of pending, which has a size with its delimiter.
func (se *session) takeEvent(event []byte, size int) {
	switch se.position.take(event) {
	case isOther:
		se.scanErr = errDiverged
	case isRepeated:
		se.pending = slices.Delete(se.pending, se.completeBytes, se.completeBytes+size)
		se.scannedBytes = se.completeBytes
	case isNext:
		se.completeBytes += size
		se.events++
		se.logPause()
		se.keepIfLost()
	}
}

// keepIfLost takes care that the run of a stream that can't go on elsewhere is not moved.
func (se *session) keepIfLost() {
	if se.position.lost && !se.kept && se.run != nil {
		se.kept = true
		se.di.Runs.Remove(se.run)
	}
}

var errMixed = errors.New("dispatch: another answer begins where an event is due")

// beginsAnswer reports whether an event has the status line of an answer in place of a field.
// The framing of a stream without length and chunks doesn't show an answer inside it.
func beginsAnswer(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.HasPrefix(line, []byte("HTTP/1.")) {
			return true
		}
	}
	return false
}

// logPause logs a pause between events that is longer than the route's MaxGap.
func (se *session) logPause() {
	now := se.di.Clock.Now()
	bound := se.ta.route.MaxGap
	if gap := now.Sub(se.lastEventAt); se.events > 1 && bound > 0 && gap > bound {
		se.di.Log.Info().Str("event", "stream_paused").Str("request", se.ta.ID).Str("endpoint", se.endpoint.ID).Int("events", se.events).
			Int("moves", se.moves).Dur("pause", gap).Msg("dispatch: pause between events exceeds the route's limit")
	}
	se.lastEventAt = now
}
