package loadshare

import (
	"encoding/binary"
	"errors"
	"slices"

	"filbertstall.example/filbertstall/internal/placement"
)

// message is one datagram. Its form is internal to instances of one version:
// numbers are unsigned varints, texts and lists follow their lengths.
type message struct {
	Instance string
	// Started is when the sender started, in Unix milliseconds.
	Started uint64
	// Sequence rises with each message of one start; an older one that arrives
	// late is dropped.
	Sequence uint64
	// Loads is what the sender runs at each engine.
	Loads map[string]placement.Load
	// Moves are the runs that the sender wants to move off engines.
	Moves map[string]int
}

const (
	// formVersion is the first number of each message.
	formVersion = 1
	// maxDatagram bounds a message, and maxEntries each of its lists.
	maxDatagram = 32 << 10
	maxEntries  = 4096
	// maxCount bounds the numbers of a load.
	maxCount = 1 << 40
)

// ErrForm is returned for a datagram that is not a message.
var ErrForm = errors.New("loadshare: not a message")

// encode returns the datagram of a message.
func encode(me message) []byte {
	data := binary.AppendUvarint(nil, formVersion)
	data = appendText(data, me.Instance)
	data = binary.AppendUvarint(data, me.Started)
	data = binary.AppendUvarint(data, me.Sequence)
	data = binary.AppendUvarint(data, uint64(len(me.Loads)))
	for _, id := range sortedKeys(me.Loads) {
		lo := me.Loads[id]
		data = appendText(data, id)
		for _, number := range []int{lo.Running, lo.Reading, lo.Held} {
			data = binary.AppendUvarint(data, uint64(max(number, 0)))
		}
	}
	data = binary.AppendUvarint(data, uint64(len(me.Moves)))
	for _, id := range sortedKeys(me.Moves) {
		data = appendText(data, id)
		data = binary.AppendUvarint(data, uint64(max(me.Moves[id], 0)))
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

func appendText(data []byte, text string) []byte {
	data = binary.AppendUvarint(data, uint64(len(text)))
	return append(data, text...)
}

// decode reads a datagram.
func decode(data []byte) (message, error) {
	re := reader{data: data}
	if re.number() != formVersion {
		return message{}, ErrForm
	}
	me := message{Instance: re.text(), Started: re.number(), Sequence: re.number()}
	me.Loads = make(map[string]placement.Load)
	for range re.entries() {
		id := re.text()
		me.Loads[id] = placement.Load{Running: re.count(), Reading: re.count(), Held: re.count()}
	}
	me.Moves = make(map[string]int)
	for range re.entries() {
		id := re.text()
		me.Moves[id] = re.count()
	}
	if re.bad || len(re.data) > 0 || me.Instance == "" {
		return message{}, ErrForm
	}
	return me, nil
}

// reader reads the parts of a datagram. After a part that can't be read, all
// parts are empty and bad is set.
type reader struct {
	data []byte
	bad  bool
}

func (re *reader) number() uint64 {
	number, size := binary.Uvarint(re.data)
	if size <= 0 {
		re.bad, re.data = true, nil
		return 0
	}
	re.data = re.data[size:]
	return number
}

// count reads a number of a load; one that is too large is no message.
func (re *reader) count() int {
	number := re.number()
	if number > maxCount {
		re.bad = true
		return 0
	}
	return int(number)
}

// entries reads the length of a list.
func (re *reader) entries() int {
	number := re.number()
	if number > maxEntries {
		re.bad = true
		return 0
	}
	return int(number)
}

func (re *reader) text() string {
	size := re.number()
	if size > uint64(len(re.data)) {
		re.bad, re.data = true, nil
		return ""
	}
	text := string(re.data[:size])
	re.data = re.data[size:]
	return text
}
