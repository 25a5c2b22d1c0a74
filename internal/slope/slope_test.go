package slope_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/slope"
)

func TestSlope(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slope")
}

var _ = Describe("Read", func() {
	It("fits the medians of repeated lines and ignores other lines", func() {
		me, err := slope.Read(strings.NewReader("ok\n    x_test.go:1: slope: a n=1 b=9 c=1\nslope: a n=1 b=10\nslope: a n=1 b=100\nslope: a n=3 b=30\n"))
		Expect(err).NotTo(HaveOccurred())
		fi, ok := me.Fit("a", "b")
		Expect(ok).To(BeTrue())
		Expect(fi.Points[0]).To(Equal(slope.Point{Size: 1, Median: 10, Least: 9, Most: 100}))
		Expect(fi.At(5)).To(BeNumerically("~", 50, 1e-9))
		_, ok = me.Fit("a", "c")
		Expect(ok).To(BeFalse())
	})

	DescribeTable("returns an error for malformed measurements",
		func(line string) {
			_, err := slope.Read(strings.NewReader(line))
			Expect(err).To(HaveOccurred())
		},
		Entry("no metric", "slope: a n=1"),
		Entry("no number", "slope: a n=1 b=x"),
		Entry("no pair", "slope: a n=1 b"),
	)
})
