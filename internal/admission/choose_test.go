package admission

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/pkg/kind"
)

var benchStart = time.Unix(1_000_000, 0)

// loadedAllocator returns an allocator with count endpoints under different
// loads.
func loadedAllocator(count int) *Allocator {
	al := &Allocator{}
	var list []Candidate
	for no := range count {
		ca := kind.Capacity{MemoryTokens: 60_000, Sequences: 256, ColdSequences: 256}
		en := kind.Endpoint{Name: "e" + strconv.Itoa(no), Service: "filbert-pool", State: kind.EndpointServing, Capacity: ca}
		list = append(list, Candidate{Endpoint: en, Eligible: true, Distance: no % distanceCount})
	}
	al.SetEndpoints(benchStart, list)
	for no := range count * 8 {
		re := Request{ID: "r" + strconv.Itoa(no), Class: "chapter", PromptTokens: 100 + no%700}
		al.Adopt(benchStart, re, "e"+strconv.Itoa(no*7%count), int64(no%2000))
	}
	return al
}

func testRequest(al *Allocator) queuedRequest {
	re := Request{ID: "x", Service: "filbert-pool", Team: "tatra", Class: "chapter", PromptTokens: 300, Prefix: 5}
	return queuedRequest{re, al.lengths.Curve(lengthKey(re))}
}

var _ = Describe("choose", func() {
	It("allocates no memory and inspects only a few of 1,200 endpoints", func() {
		al := loadedAllocator(1200)
		qr := testRequest(al)
		Expect(testing.AllocsPerRun(100, func() { al.choose(longLane, &qr) })).To(BeZero())
		visited := 0
		for ix := range al.indexes {
			al.indexes[ix].each(func(*account) bool { visited++; return true })
		}
		Expect(visited).To(BeNumerically("<=", maxInspected*distanceCount))
	})

	It("takes the endpoint with the highest score at the nearest distance", func() {
		al := loadedAllocator(60)
		qr := testRequest(al)
		best := al.choose(longLane, &qr)
		Expect(best.Distance).To(BeZero())
		for _, ac := range al.order {
			if ac.Distance == 0 {
				Expect(ac.computeScore(al.margin.risk)).To(BeNumerically("<=", best.score))
			}
		}
	})
})

func benchmarkChoose(be *testing.B, count int) {
	al := loadedAllocator(count)
	qr := testRequest(al)
	be.ReportAllocs()
	for be.Loop() {
		al.choose(longLane, &qr)
	}
}

func BenchmarkChoose12(be *testing.B)   { benchmarkChoose(be, 12) }
func BenchmarkChoose1200(be *testing.B) { benchmarkChoose(be, 1200) }

func benchmarkGrant(be *testing.B, count int) {
	al := loadedAllocator(count)
	qr := testRequest(al)
	be.ReportAllocs()
	for be.Loop() {
		_ = al.Submit(benchStart, qr.re)
		al.Decide(benchStart)
		al.Progress(benchStart, qr.re.ID, refreshTokens)
		al.Finish(benchStart, qr.re.ID, Outcome{Result: Completed, Tokens: 300})
	}
}

func BenchmarkGrant12(be *testing.B)   { benchmarkGrant(be, 12) }
func BenchmarkGrant1200(be *testing.B) { benchmarkGrant(be, 1200) }
