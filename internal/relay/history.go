package relay

// maxHistory is the number of newest changes that remain when a history is
// trimmed, which happens above twice that number. An instance that is further
// behind gets all items.
const maxHistory = 1024

// history records in which order the items of a set changed, so that an instance
// that has an earlier state needs only the changes since then. The zero value is
// an empty set. It is not safe for concurrent use.
type history[T comparable] struct {
	// sequence is the number of the newest change.
	sequence uint64
	items    map[string]T
	// changed holds the keys of changed items, oldest first. The last one belongs
	// to the change with the number sequence. An empty key stands for a change of
	// something other than the items.
	changed []string
}

// observe records the differences between the recorded items and the current
// ones.
func (hi *history[T]) observe(current map[string]T) {
	if hi.items == nil {
		hi.items = make(map[string]T)
	}
	for key, item := range current {
		if old, known := hi.items[key]; !known || old != item {
			hi.items[key] = item
			hi.append(key)
		}
	}
	for key := range hi.items {
		if _, found := current[key]; !found {
			delete(hi.items, key)
			hi.append(key)
		}
	}
}

// append records a change of the item with this key.
func (hi *history[T]) append(key string) {
	hi.sequence++
	hi.changed = append(hi.changed, key)
	if len(hi.changed) > 2*maxHistory {
		hi.changed = append([]string(nil), hi.changed[len(hi.changed)-maxHistory:]...)
	}
}

// all returns all items, in no particular order.
func (hi *history[T]) all() []T {
	list := make([]T, 0, len(hi.items))
	for _, item := range hi.items {
		list = append(list, item)
	}
	return list
}

// since returns the items that were added or changed after the change with this
// number, and the keys of those removed. It returns false if these changes are
// not known any more.
func (hi *history[T]) since(sequence uint64) (changed []T, removed []string, known bool) {
	missed := hi.sequence - sequence
	if sequence > hi.sequence || missed > uint64(len(hi.changed)) {
		return nil, nil, false
	}
	seen := make(map[string]bool)
	for _, key := range hi.changed[uint64(len(hi.changed))-missed:] {
		if key == "" || seen[key] {
			continue
		}
		seen[key] = true
		if item, found := hi.items[key]; found {
			changed = append(changed, item)
			continue
		}
		removed = append(removed, key)
	}
	return changed, removed, true
}
