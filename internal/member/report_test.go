package member

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Of a zone with more silent members than a report names, the others counted as live
// and got requests.
func TestReportsNameAllMembers(t *testing.T) {
	g := NewWithT(t)
	const silent = 3 * maxReportedStates
	ta := &Table{Self: Member{Name: "i", Zone: "b"}, entries: make(map[string]*entry)}
	var news []News
	for ix := range silent {
		name := fmt.Sprintf("m%d", ix)
		ta.entries[name] = &entry{Member: Member{Name: name, Zone: "a"}}
		news = append(news, News{Name: name, State: Suspected})
	}
	reported := func() int {
		count := 0
		for _, en := range ta.entries {
			if en.reportedState == Suspected {
				count++
			}
		}
		return count
	}
	for range 200 {
		ta.applyReportedStates(ProbeReply{Zone: "a", News: sample(append([]News(nil), news...))})
	}
	g.Expect(reported()).To(Equal(silent))
	ta.applyReportedStates(ProbeReply{Zone: "a", News: news[:1]})
	g.Expect(reported()).To(Equal(1), "a shorter report is complete")
}
