package loadshare

import (
	"encoding/binary"
	"errors"
	"slices"

	"filbertstall.example/filbertstall/internal/placement"
)

// message is one datagram. Its encoding is private to instances of one version:
// numbers are unsigned varints, and strings and lists are prefixed with their
// length.
type message struct {
	Instance string
	// Started is the start time of the sender, in Unix milliseconds.
	Started uint64
	// Sequence increases with each message since Started. The receiver drops
	// messages that arrive after a newer one.
	Sequence uint64
	// Loads has the load that the sender places on each engine, by endpoint ID.
	Loads map[string]placement.Load
	// Moves has the number of runs that the sender has still to move off each
	// engine, by endpoint ID.
	Moves map[string]int
	// Settled are grants of allocators that Loads include, or that the sender does not
	// use. The list is left out if it is empty.
	Settled []uint64
}

const (
	// wireVersion is the first number of each message.
	wireVersion = 1
	// maxDatagram is the size of the receive buffer, in bytes. maxEntries is the
	// maximum length of each list that decode accepts.
	maxDatagram = 32 << 10
	maxEntries  = 4096
	// maxCount is the maximum value of each count that decode accepts.
	maxCount = 1 << 40
)

// ErrMalformed is returned for a datagram that is not a valid message of this
// version.
var ErrMalformed = errors.New("loadshare: datagram is not a valid load message")

// encode returns the datagram of a message. Negative numbers are sent as zero.
func encode(me message) []byte {
	data := binary.AppendUvarint(nil, wireVersion)
	data = appendString(data, me.Instance)
	data = binary.AppendUvarint(data, me.Started)
	data = binary.AppendUvarint(data, me.Sequence)
	data = binary.AppendUvarint(data, uint64(len(me.Loads)))
	for _, id := range sortedKeys(me.Loads) {
		lo := me.Loads[id]
		data = appendString(data, id)
		for _, number := range []int{lo.Running, lo.PrefillTokens, lo.ReservedTokens} {
			data = binary.AppendUvarint(data, uint64(max(number, 0)))
		}
	}
	data = binary.AppendUvarint(data, uint64(len(me.Moves)))
	for _, id := range sortedKeys(me.Moves) {
		data = appendString(data, id)
		data = binary.AppendUvarint(data, uint64(max(me.Moves[id], 0)))
	}
	if len(me.Settled) > 0 {
		data = binary.AppendUvarint(data, uint64(len(me.Settled)))
		for _, id := range me.Settled {
			data = binary.BigEndian.AppendUint64(data, id)
		}
	}
	return data
}

func sortedKeys[V any](ma map[string]V) []string {
	keys := make([]string, 0, len(ma))
	for key := range ma {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func appendString(data []byte, text string) []byte {
	data = binary.AppendUvarint(data, uint64(len(text)))
	return append(data, text...)
}

// decode parses a datagram, or returns ErrMalformed.
func decode(data []byte) (message, error) {
	re := reader{data: data}
	if re.uvarint() != wireVersion {
		return message{}, ErrMalformed
	}
	me := message{Instance: re.stringValue(), Started: re.uvarint(), Sequence: re.uvarint()}
	me.Loads = make(map[string]placement.Load)
	for range re.listLength() {
		id := re.stringValue()
		me.Loads[id] = placement.Load{Running: re.count(), PrefillTokens: re.count(), ReservedTokens: re.count()}
	}
	me.Moves = make(map[string]int)
	for range re.listLength() {
		id := re.stringValue()
		me.Moves[id] = re.count()
	}
	if len(re.data) > 0 {
		for range re.listLength() {
			me.Settled = append(me.Settled, re.fixed64())
		}
	}
	if re.malformed || len(re.data) > 0 || me.Instance == "" {
		return message{}, ErrMalformed
	}
	return me, nil
}

// reader parses the fields of a datagram. After a number or string that cannot
// be parsed, malformed is set and all further fields are empty.
type reader struct {
	data      []byte
	malformed bool
}

func (re *reader) uvarint() uint64 {
	number, size := binary.Uvarint(re.data)
	if size <= 0 {
		re.malformed, re.data = true, nil
		return 0
	}
	re.data = re.data[size:]
	return number
}

// count reads a count. Values above maxCount make the datagram malformed.
func (re *reader) count() int {
	number := re.uvarint()
	if number > maxCount {
		re.malformed = true
		return 0
	}
	return int(number)
}

// listLength reads the length of a list. Lengths above maxEntries make the
// datagram malformed.
func (re *reader) listLength() int {
	number := re.uvarint()
	if number > maxEntries {
		re.malformed = true
		return 0
	}
	return int(number)
}

func (re *reader) stringValue() string {
	size := re.uvarint()
	if size > uint64(len(re.data)) {
		re.malformed, re.data = true, nil
		return ""
	}
	text := string(re.data[:size])
	re.data = re.data[size:]
	return text
}
