package kind

import (
	"maps"
	"slices"
)

// named is the type set of the objects that a table can hold.
type named interface {
	Half | Team | Service | Endpoint | Zone
}

// table is an immutable set of objects of one type, indexed by name.
type table[T named] struct {
	byName map[string]T
	// sorted holds the objects in name order.
	sorted []T
	// name returns the name of an object.
	name func(T) string
}

func newTable[T named](op string, name func(T) string, list []T) (table[T], error) {
	ta := table[T]{byName: make(map[string]T, len(list)), name: name}
	for _, it := range list {
		if _, found := ta.byName[name(it)]; found {
			return ta, &Error{Op: op, Name: name(it), Field: "name", Kind: Duplicate, Detail: "must be unique"}
		}
		ta.byName[name(it)] = it
	}
	ta.sort()
	return ta, nil
}

func (ta *table[T]) sort() {
	ta.sorted = make([]T, 0, len(ta.byName))
	for _, key := range slices.Sorted(maps.Keys(ta.byName)) {
		ta.sorted = append(ta.sorted, ta.byName[key])
	}
}

func (ta table[T]) with(it T) table[T] {
	next := table[T]{byName: maps.Clone(ta.byName), name: ta.name}
	if next.byName == nil {
		next.byName = make(map[string]T, 1)
	}
	next.byName[ta.name(it)] = it
	next.sort()
	return next
}

func (ta table[T]) without(name string) table[T] {
	next := table[T]{byName: maps.Clone(ta.byName), name: ta.name}
	delete(next.byName, name)
	next.sort()
	return next
}
