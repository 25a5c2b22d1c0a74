package warmup_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/warmup"
)

func TestWarmup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "warmup")
}

var _ = Describe("State", func() {
	It("grows only on proof and never beyond the full limit", func() {
		st := warmup.New(4, 10)
		Expect(st.WithProof(0.9).Allowed()).To(Equal(4))
		st = st.WithProof(0.9).WithProof(0.2)
		Expect(st.Allowed()).To(Equal(8))
		Expect(st.WithProof(0.9).Allowed()).To(Equal(8))
		Expect(st.WithProof(1).Allowed()).To(Equal(10))
	})

	It("falls back to the cold limit at once and loses its progress", func() {
		st := warmup.New(4, 8).WithBoot("a").WithProof(1)
		Expect(st.WithBoot("a").Allowed()).To(Equal(8))
		Expect(st.WithBoot("b").Allowed()).To(Equal(4))
		Expect(st.WithBoot("b").WithProof(0.5).WithCold().WithProof(0.5).Allowed()).To(Equal(4))
	})

	It("keeps its limit when the first boot ID is reported", func() {
		Expect(warmup.New(4, 8).WithProof(1).WithBoot("a").Allowed()).To(Equal(8))
	})

	It("stays cold or warm when the configured limits change", func() {
		Expect(warmup.New(4, 8).WithLimits(2, 16).Allowed()).To(Equal(4))
		Expect(warmup.New(4, 8).WithProof(1).WithLimits(2, 16).Allowed()).To(Equal(16))
	})

	It("applies the limit reported by another allocator only under the same boot ID", func() {
		st := warmup.New(4, 8).WithAllowed("a", 8)
		Expect(st.Allowed()).To(Equal(4))
		Expect(st.WithBoot("a").Allowed()).To(Equal(8))
		Expect(st.WithBoot("b").Allowed()).To(Equal(4))
		Expect(st.WithBoot("b").WithBoot("a").Allowed()).To(Equal(4))
	})
})
