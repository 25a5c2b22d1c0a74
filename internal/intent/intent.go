package intent

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"filbertstall.example/filbertstall/internal/document"
	"filbertstall.example/filbertstall/pkg/kind"
)

// Intent is the content of an intent file.
type Intent struct {
	// Reason is a text for operators that is shown with the plan.
	Reason string `json:"reason,omitempty"`
	// Actions are the requested changes. Those to the configuration take effect
	// together, except for the ones that must wait until an endpoint is idle.
	Actions []Action `json:"actions"`

	source *document.Source
}

// Action is one requested change. Exactly one field is set. An action whose name
// begins with Set adds an object, or changes only the listed fields of an
// existing one.
type Action struct {
	SetHalf     *Fields[kind.Half]     `json:"set_half,omitempty"`
	SetZone     *Fields[kind.Zone]     `json:"set_zone,omitempty"`
	SetTeam     *Fields[kind.Team]     `json:"set_team,omitempty"`
	SetService  *Fields[kind.Service]  `json:"set_service,omitempty"`
	SetEndpoint *Fields[kind.Endpoint] `json:"set_endpoint,omitempty"`
	// RemoveEndpoint is the name of an endpoint to drain and then remove.
	RemoveEndpoint string  `json:"remove_endpoint,omitempty"`
	Assign         *Assign `json:"assign,omitempty"`
	// TakeZoneOut is the name of an availability zone that is to receive no new
	// work.
	TakeZoneOut     string `json:"take_zone_out,omitempty"`
	BringZoneBack   string `json:"bring_zone_back,omitempty"`
	DrainEndpoint   string `json:"drain_endpoint,omitempty"`
	UndrainEndpoint string `json:"undrain_endpoint,omitempty"`
	// StopInstance is the name of an entry instance to shut down gracefully, so
	// that its answers in progress are completed.
	StopInstance string `json:"stop_instance,omitempty"`
	// RollInstance is the name of an entry instance to shut down gracefully, with
	// a wait for its replacement.
	RollInstance string `json:"roll_instance,omitempty"`
}

// Assign assigns one object to a half. Exactly one of Endpoint, Zone, Team and
// Service is set.
type Assign struct {
	Endpoint string `json:"endpoint,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Team     string `json:"team,omitempty"`
	Service  string `json:"service,omitempty"`
	// Half is the name of the half, and must be given. If it is empty, both halves share
	// the object.
	Half *string `json:"half"`
}

// Fields holds the fields of an object that an action sets, as JSON.
type Fields[T any] struct {
	Name string
	raw  json.RawMessage
}

// Shape implements document.Shaped.
func (Fields[T]) Shape() reflect.Type { return reflect.TypeFor[T]() }

// UnmarshalJSON stores the fields undecoded, since they are decoded over the
// current values of the object that they change.
func (fi *Fields[T]) UnmarshalJSON(data []byte) error {
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(data, &named); err != nil {
		return err
	}
	fi.Name, fi.raw = named.Name, append(json.RawMessage(nil), data...)
	return nil
}

// MarshalJSON returns the fields as they were given.
func (fi Fields[T]) MarshalJSON() ([]byte, error) { return fi.raw, nil }

// Parse decodes an intent file. The name of the file is used only in errors,
// which are of type document.Faults.
func Parse(file string, data []byte) (Intent, error) {
	var in Intent
	de := document.Decoder{File: file, Root: "intent", Noun: "a field"}
	so, err := de.Decode(data, &in)
	in.source = so
	if err != nil {
		return in, err
	}
	if len(in.Actions) == 0 {
		so.Add("actions", "must list at least one action")
	}
	for ix, ac := range in.Actions {
		if set := ac.set(); len(set) != 1 {
			so.Add(fmt.Sprintf("actions[%d]", ix), "must have exactly one action, not "+fmt.Sprint(len(set)))
		}
	}
	return in, so.Err()
}

// set returns the JSON names of the fields of the action that are set.
func (ac Action) set() []string {
	var names []string
	va := reflect.ValueOf(ac)
	for ix := range va.NumField() {
		if !va.Field(ix).IsZero() {
			name, _, _ := strings.Cut(va.Type().Field(ix).Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}
