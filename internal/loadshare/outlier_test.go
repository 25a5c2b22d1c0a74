package loadshare

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/outlier"
)

// Reports arrive as they were sent, and bytes that are none do no harm. Instances of earlier
// versions take them for unreadable loads.
func TestOutlierDatagram(t *testing.T) {
	g := NewWithT(t)
	list := []outlier.Report{
		{Endpoint: "e1", Started: 7, Failures: []time.Duration{2 * time.Second, time.Millisecond}},
		{Endpoint: "e2", Started: -1, Failures: []time.Duration{0}, Successes: []time.Duration{3 * time.Microsecond}},
	}
	data := encodeOutliers("i", "z", list)
	g.Expect(isOutliers(data)).To(BeTrue())
	instance, zone, got, err := decodeOutliers(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(instance + zone).To(Equal("iz"))
	g.Expect(got).To(Equal(list))
	for size := range data {
		_, _, _, err := decodeOutliers(data[:size])
		g.Expect(err).To(MatchError(ErrMalformed))
	}
	_, err = decode(data)
	g.Expect(err).To(MatchError(ErrMalformed))
}
