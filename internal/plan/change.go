package plan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"filbertstall.example/filbertstall/pkg/kind"
)

// Change is the change of one object of the configuration.
type Change struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Before and After are the object in JSON. Before is nil if the change adds
	// the object, and After is nil if it removes it.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Object returns the object as "kind/name", the form in which a plan locks it.
func (ch Change) Object() string { return ch.Kind + "/" + ch.Name }

// Inverse returns the change that reverts this one.
func (ch Change) Inverse() Change {
	ch.Before, ch.After = ch.After, ch.Before
	return ch
}

// Diff returns the changes that lead from one configuration to another.
func Diff(from, to *kind.Configuration) []Change {
	var list []Change
	list = append(list, diff("half", from.Halves(), to.Halves(), func(it kind.Half) string { return it.Name })...)
	list = append(list, diff("zone", from.Zones(), to.Zones(), func(it kind.Zone) string { return it.Name })...)
	list = append(list, diff("team", from.Teams(), to.Teams(), func(it kind.Team) string { return it.Name })...)
	list = append(list, diff("service", from.Services(), to.Services(), func(it kind.Service) string { return it.Name })...)
	return append(list, diff("endpoint", from.Endpoints(), to.Endpoints(), func(it kind.Endpoint) string { return it.Name })...)
}

// diff compares two lists of objects of one kind, both sorted by name.
func diff[T any](ki string, from, to []T, name func(T) string) []Change {
	var list []Change
	for len(from) > 0 || len(to) > 0 {
		ch := Change{Kind: ki}
		switch {
		case len(to) == 0 || (len(from) > 0 && name(from[0]) < name(to[0])):
			ch.Name, ch.Before, from = name(from[0]), encode(from[0]), from[1:]
		case len(from) == 0 || name(to[0]) < name(from[0]):
			ch.Name, ch.After, to = name(to[0]), encode(to[0]), to[1:]
		default:
			ch.Name, ch.Before, ch.After = name(from[0]), encode(from[0]), encode(to[0])
			from, to = from[1:], to[1:]
		}
		if !bytes.Equal(ch.Before, ch.After) {
			list = append(list, ch)
		}
	}
	return list
}

// encode returns the JSON encoding of an object of the configuration. Encoding
// such an object does not fail; if it did, the result would be nil.
func encode(it any) json.RawMessage {
	data, err := json.Marshal(it)
	if err != nil {
		return nil
	}
	return data
}

// errRemoval is returned for a change that removes an object other than an
// endpoint.
var errRemoval = errors.New("only endpoints can be removed")

// apply returns the configuration with the changes applied.
func apply(cf *kind.Configuration, changes []Change) (*kind.Configuration, error) {
	var err error
	for _, ch := range changes {
		if cf, err = ch.apply(cf); err != nil {
			return nil, fmt.Errorf("%s: %w", ch.Object(), err)
		}
	}
	return cf, nil
}

func (ch Change) apply(cf *kind.Configuration) (*kind.Configuration, error) {
	if ch.After == nil {
		if ch.Kind != "endpoint" {
			return nil, errRemoval
		}
		return cf.WithoutEndpoint(ch.Name)
	}
	switch ch.Kind {
	case "half":
		return setObject(ch.After, cf.WithHalf)
	case "zone":
		return setObject(ch.After, cf.WithZone)
	case "team":
		return setObject(ch.After, cf.WithTeam)
	case "service":
		return setObject(ch.After, cf.WithService)
	default:
		return setObject(ch.After, cf.WithEndpoint)
	}
}

func setObject[T any](data []byte, set func(T) (*kind.Configuration, error)) (*kind.Configuration, error) {
	var it T
	if err := json.Unmarshal(data, &it); err != nil {
		return nil, err
	}
	return set(it)
}
