package configuration

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Notices arrive out of order while a fetch is running. The fetch that follows is
// of the highest version announced.
func TestLaterNoticeOfLowerVersion(t *testing.T) {
	for _, ca := range []struct {
		name     string
		versions []int64
		pending  bool
		target   int64
	}{
		{"the version that is fetched", []int64{5}, false, 5},
		{"a lower one", []int64{4}, false, 5},
		{"a higher one", []int64{7}, true, 7},
		{"a higher one, then one between", []int64{7, 6}, true, 7},
		{"two higher ones", []int64{6, 7}, true, 7},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			di := &Distributor{State: &State{}, ctx: t.Context(), fetching: true, targetNotice: Notice{Version: 5}}
			for _, version := range ca.versions {
				di.HandleNotice(Notice{Version: version})
			}
			g.Expect(di.fetchPending).To(Equal(ca.pending))
			g.Expect(di.targetNotice.Version).To(Equal(ca.target))
		})
	}
}
