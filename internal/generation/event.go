package generation

import (
	"encoding/json"
	"strconv"

	"filbertstall.example/filbertstall/internal/endpoint"
	"filbertstall.example/filbertstall/internal/refusal"
)

var (
	doneEvent = []byte("data: [DONE]\n\n")
	// waitingEvent is the heartbeat comment sent while no token is available.
	waitingEvent = []byte(": waiting\n\n")
)

// appendEvent appends an engine's event as a server-sent event to the caller.
// Its ID is "<token>/<offset>", where token is the signed generation ID.
func appendEvent(line []byte, token string, ev *endpoint.Event) []byte {
	line = append(line, "id: "...)
	line = append(line, token...)
	line = append(line, '/')
	line = strconv.AppendInt(line, ev.Offset, 10)
	line = append(line, "\ndata: "...)
	line = append(line, ev.Data...)
	return append(line, "\n\n"...)
}

// appendProblem appends the error event that ends a stream which cannot be
// completed.
func appendProblem(line []byte, er *refusal.Error) []byte {
	line = append(line, "event: error\ndata: "...)
	line = append(line, er.Problem()...)
	return append(line, "\n\n"...)
}

// handover is the data of the event that ends a stream when the instance shuts
// down or the caller reads too slowly. The caller can resume at any instance.
type handover struct {
	Path string `json:"path"`
	// LastEventID is the ID of the last event that was sent, empty if no token
	// has been sent yet.
	LastEventID string `json:"last_event_id,omitempty"`
}

// appendHandover appends the event that tells the caller how to resume. The
// given offset is that of the next token of text, and token is the signed
// generation ID.
func appendHandover(line []byte, token string, offset int64) []byte {
	ho := handover{Path: eventsPath(token)}
	if offset > 0 {
		ho.LastEventID = token + "/" + strconv.FormatInt(offset-1, 10)
	}
	data, err := json.Marshal(ho)
	if err != nil {
		return line
	}
	line = append(line, "event: resume\ndata: "...)
	line = append(line, data...)
	return append(line, "\n\n"...)
}

func eventsPath(token string) string { return "/v1/generations/" + token + "/events" }
