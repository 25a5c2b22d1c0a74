package loadshare

import (
	"encoding/json"
	"errors"

	"filbertstall.example/filbertstall/internal/placement"
)

// message is one datagram. Its form is internal to instances of one version;
// fields may be added.
type message struct {
	Instance string `json:"instance"`
	// Sequence rises with each message of one start; an older one that arrives
	// late is dropped.
	Sequence uint64 `json:"sequence"`
	// Started is when the sender started, in Unix milliseconds.
	Started int64          `json:"started"`
	Loads   []endpointLoad `json:"loads"`
	// Moves are the runs that the sender wants to move off engines.
	Moves []endpointMoves `json:"moves,omitempty"`
}

type endpointMoves struct {
	Endpoint string `json:"endpoint"`
	Runs     int    `json:"runs"`
}

// endpointLoad is what the sender runs at one engine.
type endpointLoad struct {
	Endpoint string `json:"endpoint"`
	Running  int    `json:"running"`
	Reading  int    `json:"reading"`
	Held     int    `json:"held"`
}

// maxDatagram bounds a message.
const maxDatagram = 32 << 10

func encode(me message, loads map[string]placement.Load) ([]byte, error) {
	for id, lo := range loads {
		me.Loads = append(me.Loads, endpointLoad{Endpoint: id, Running: lo.Running, Reading: lo.Reading, Held: lo.Held})
	}
	return json.Marshal(me)
}

var errNoSender = errors.New("loadshare: a message without a sender")

func decode(data []byte) (message, map[string]placement.Load, error) {
	var me message
	if err := json.Unmarshal(data, &me); err != nil {
		return me, nil, err
	}
	if me.Instance == "" {
		return me, nil, errNoSender
	}
	loads := make(map[string]placement.Load, len(me.Loads))
	for _, lo := range me.Loads {
		if lo.Running < 0 || lo.Reading < 0 || lo.Held < 0 {
			continue
		}
		loads[lo.Endpoint] = placement.Load{Running: lo.Running, Reading: lo.Reading, Held: lo.Held}
	}
	return me, loads, nil
}
