package length_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/length"
)

func TestLength(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "length")
}

func observeAnswers(cu *length.Curve, count int, draw func() float64) {
	for range count {
		tokens := int64(max(draw(), 1))
		cu.ObserveProgress(0, tokens)
		cu.ObserveEnd(tokens)
	}
}

var _ = Describe("Curve", func() {
	key := length.Key{Service: "filbert-pool", Team: "tatra", Class: "chapter"}

	It("estimates a heavy-tailed distribution", func() {
		rn := rand.New(rand.NewPCG(1, 1))
		es := &length.Estimator{}
		cu := es.Curve(key)
		observeAnswers(cu, 3000, func() float64 { return 500 * math.Exp(rn.NormFloat64()) })
		for _, at := range []float64{200, 500, 1500, 4000} {
			truth := 0.5 * math.Erfc(math.Log(at/500)/math.Sqrt2)
			Expect(cu.Survival(0, at)).To(BeNumerically("~", truth, 0.03))
		}
		Expect(cu.Survival(1500, 1500)).To(BeNumerically(">", cu.Survival(100, 1500)))
	})

	It("counts answers that are still running", func() {
		es := &length.Estimator{}
		cu := es.Curve(key)
		for range 200 {
			cu.ObserveProgress(0, 2000) // still running
			cu.ObserveProgress(0, 50)
			cu.ObserveEnd(50)
		}
		Expect(cu.Survival(0, 1000)).To(BeNumerically("~", 0.5, 0.1))
	})

	It("decays old evidence", func() {
		es := &length.Estimator{}
		cu := es.Curve(key)
		observeAnswers(cu, 5000, func() float64 { return 1000 })
		observeAnswers(cu, 20000, func() float64 { return 100 })
		Expect(cu.Mean()).To(BeNumerically("<", 200))
	})

	It("combines a new team with the curve of its class, and bounds the number of curves", func() {
		es := &length.Estimator{}
		observeAnswers(es.Curve(key), 500, func() float64 { return 40 })
		fresh := es.Curve(length.Key{Service: "filbert-pool", Team: "daegu", Class: "chapter"})
		fresh.ObserveProgress(0, 40)
		fresh.ObserveEnd(40)
		Expect(fresh.Mean()).To(BeNumerically("<", 80))
		for ix := range 10000 {
			es.Curve(length.Key{Service: "filbert-pool", Team: strconv.Itoa(ix), Class: "x"})
		}
		Expect(es.Len()).To(BeNumerically("<=", 4096+2))
	})
})
