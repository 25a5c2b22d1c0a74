package loadshare

import (
	"net/netip"
	"slices"

	"filbertstall.example/filbertstall/internal/snapshot"
)

// Member is the entry under which an instance has registered itself.
type Member struct {
	Name string
	Zone string
	// Address is the peer address of the instance.
	Address netip.AddrPort
	// Forwards is the address to which other instances forward requests. It is the zero
	// value if the instance takes none.
	Forwards netip.AddrPort
	// LinkMbps is the bandwidth of the instance, in Mbit/s.
	LinkMbps int
}

// Members is the list of instances. The zero value is empty. It is safe for
// concurrent use by one writer and many readers.
type Members struct {
	holder snapshot.Holder[[]Member]
}

// Set replaces the list.
func (ms *Members) Set(list []Member) { ms.holder.Store(&list) }

// Add adds instances to the list, or replaces those of the same name, and reports
// whether that changed anything.
func (ms *Members) Add(added []Member) bool {
	list := slices.Clone(ms.List())
	index := make(map[string]int, len(list))
	for ix, me := range list {
		index[me.Name] = ix
	}
	changed := false
	for _, me := range added {
		ix, known := index[me.Name]
		switch {
		case !known:
			index[me.Name] = len(list)
			list = append(list, me)
		case list[ix] != me:
			list[ix] = me
		default:
			continue
		}
		changed = true
	}
	if changed {
		ms.Set(list)
	}
	return changed
}

// List returns the current list, which the caller must not change.
func (ms *Members) List() []Member {
	if list := ms.holder.Load(); list != nil {
		return *list
	}
	return nil
}

// recipients returns the addresses of all other instances, split by whether
// they are in the given zone.
func (ms *Members) recipients(name, zone string) (sameZone, otherZones []netip.AddrPort) {
	for _, me := range ms.List() {
		switch {
		case me.Name == name:
		case me.Zone == zone:
			sameZone = append(sameZone, me.Address)
		default:
			otherZones = append(otherZones, me.Address)
		}
	}
	return sameZone, otherZones
}
