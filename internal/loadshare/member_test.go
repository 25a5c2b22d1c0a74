package loadshare

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestAddMembers(t *testing.T) {
	g := NewWithT(t)
	var ms Members
	a, b := Member{Name: "a", LinkMbps: 10}, Member{Name: "b", LinkMbps: 10}
	g.Expect(ms.Add([]Member{a, b})).To(BeTrue())
	before := ms.List()
	g.Expect(ms.Add([]Member{b})).To(BeFalse(), "known already")
	faster := Member{Name: "a", LinkMbps: 200}
	g.Expect(ms.Add([]Member{faster, {Name: "c"}, {Name: "c", Zone: "z"}})).To(BeTrue())
	g.Expect(ms.List()).To(ConsistOf(faster, b, Member{Name: "c", Zone: "z"}))
	g.Expect(before).To(ConsistOf(a, b), "a list that was returned does not change")
}
