package loadshare

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/boottime"
)

// Instances that stopped together sent their callers to each other.
func TestStopping(t *testing.T) {
	g := NewWithT(t)
	boot := &boottime.Manual{}
	boot.Advance(time.Hour)
	self := &Stopping{Boot: boot, Changes: make(chan struct{}, 1)}
	begun, _ := self.changed()
	g.Expect(begun).To(BeFalse())
	self.Announce()
	begun, unsent := self.changed()
	g.Expect(begun && unsent).To(BeTrue())
	begun, unsent = self.changed()
	g.Expect(begun && !unsent).To(BeTrue())

	other := &Exchange{Instance: "i2", Stopping: &Stopping{Boot: boot}, Log: zerolog.Nop()}
	other.apply(encodeStopping("i2"))
	other.apply(encodeStopping("i1"))
	other.apply(append(encodeStopping("i3"), 0))
	g.Expect(other.Stopping.Has("i1")).To(BeTrue())
	g.Expect(other.Stopping.Has("i2")).To(BeFalse())
	g.Expect(other.Stopping.Has("i3")).To(BeFalse())
	boot.Advance(stoppingExpiry)
	g.Expect(other.Stopping.Has("i1")).To(BeFalse())
}

func FuzzStopping(f *testing.F) {
	f.Add(encodeStopping("i1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if instance, err := decodeStopping(data); err == nil && (instance == "" || len(instance) > len(data)) {
			t.Errorf("accepted %q", instance)
		}
	})
}
