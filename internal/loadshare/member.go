package loadshare

import (
	"net/netip"

	"filbertstall.example/filbertstall/internal/snapshot"
)

// Member is an instance as it registered itself.
type Member struct {
	Name    string
	Zone    string
	Address netip.AddrPort
	// Link is the bandwidth of the instance, in Mbit/s.
	Link int
}

// Members is the list of instances. The zero value is empty. It is safe for
// concurrent use by one writer and many readers.
type Members struct {
	holder snapshot.Holder[[]Member]
}

// Set replaces the list.
func (ms *Members) Set(list []Member) { ms.holder.Store(&list) }

// List returns the list, which must not be changed.
func (ms *Members) List() []Member {
	if list := ms.holder.Load(); list != nil {
		return *list
	}
	return nil
}

// audience returns whom an instance tells its loads, by whether they are in
// its zone.
func (ms *Members) audience(name, zone string) (near, far []netip.AddrPort) {
	for _, me := range ms.List() {
		switch {
		case me.Name == name:
		case me.Zone == zone:
			near = append(near, me.Address)
		default:
			far = append(far, me.Address)
		}
	}
	return near, far
}
