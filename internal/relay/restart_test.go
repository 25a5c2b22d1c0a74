package relay

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"filbertstall.example/filbertstall/internal/loadshare"
	"filbertstall.example/filbertstall/internal/roster"
)

// Guards against requests to an evacuated zone: a new process, and all that read the store
// through it, used all zones until it had read the list of evacuated ones.
func TestNewProcessLeavesEvacuatedZonesAlone(t *testing.T) {
	g := NewWithT(t)
	other, no := newNode(), newNode()
	other.put("e1")
	other.roster.SetEvacuatedZones([]string{"a"})
	sw := &Switch{Log: &no.log, Caller: &caller{log: &other.log}, State: &no.state, Roster: &no.roster, Boot: no.boot, Logger: zerolog.Nop()}
	_, err := sw.Inquire(t.Context(), loadshare.Member{})
	g.Expect(err).NotTo(HaveOccurred())
	no.put("e1")
	_, usable := no.roster.View().Usable("e1")
	g.Expect(usable).To(BeFalse(), "it reads the store itself")
	g.Expect(no.ask(Query{}).Zones).To(ConsistOf("a"), "others follow it")
	no.roster.SetEvacuatedZones(nil)
	_, err = sw.Inquire(t.Context(), loadshare.Member{})
	g.Expect(err).NotTo(HaveOccurred())
	_, usable = no.roster.View().Usable("e1")
	g.Expect(usable).To(BeTrue(), "the list of the store counts")
}

// Guards against requests to an evacuated zone between the endpoints and the zones of one
// update.
func TestNewProcessTakesZonesBeforeEndpoints(t *testing.T) {
	g := NewWithT(t)
	reader, no := newNode(), newNode()
	reader.put("e1")
	reader.roster.SetEvacuatedZones([]string{"a"})
	everUsable := false
	no.roster = roster.Roster{Clock: no.clock, Log: zerolog.Nop(), OnChange: func() {
		_, usable := no.roster.View().Usable("e1")
		everUsable = everUsable || usable
	}}
	sw := &Switch{Log: &no.log, Roster: &no.roster}
	sw.apply(reader.ask(Query{}))
	g.Expect(no.roster.View().All()).To(HaveKey("e1"))
	g.Expect(everUsable).To(BeFalse())
}

// Guards against requests to an evacuated zone while the reader has just started: it read the
// endpoints before the list of evacuated zones, and all that follow it used all zones.
func TestReaderWithoutZonesTakesNoneBack(t *testing.T) {
	g := NewWithT(t)
	reader, no := newNode(), newNode()
	no.put("e1")
	no.roster.SetEvacuatedZones([]string{"a"})
	reader.put("e1")
	sw := &Switch{Log: &no.log, Roster: &no.roster}
	sw.apply(reader.ask(Query{}))
	_, usable := no.roster.View().Usable("e1")
	g.Expect(usable).To(BeFalse(), "the reader does not know the zones yet")
	reader.roster.SetEvacuatedZones(nil)
	sw.apply(reader.ask(Query{}))
	_, usable = no.roster.View().Usable("e1")
	g.Expect(usable).To(BeTrue(), "the list of the store counts")
}
