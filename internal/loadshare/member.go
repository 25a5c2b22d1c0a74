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

// manyMembers is the size from which loads are told only inside a zone: the
// messages grow with the square of the number of instances, and engines of
// other zones are a last resort.
const manyMembers = 16

// audience returns whom an instance tells its loads.
func (ms *Members) audience(name, zone string) []netip.AddrPort {
	list := ms.List()
	var addresses []netip.AddrPort
	for _, me := range list {
		if me.Name != name && (len(list) < manyMembers || me.Zone == zone) {
			addresses = append(addresses, me.Address)
		}
	}
	return addresses
}
