package routing

import (
	"flag"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/boottime"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

func testConfiguration(version int64) *Configuration {
	return New(Spec{
		Version: version,
		Routes: []Route{
			{Name: "all", Host: "books.example", PathPrefix: "/a/", Shares: []Share{{Service: "desk", Weight: 1}}},
			{Name: "deep", Host: "books.example", PathPrefix: "/a/b/", Shares: []Share{{Service: "pool", Weight: 1}}},
			{Name: "open", Host: "open.example", PathPrefix: "/", Public: true, Shares: []Share{{Service: "desk", Weight: 1}}},
		},
		Services: []Service{{Name: "desk"}, {Name: "pool"}},
		Teams:    []Team{{Name: "students", Keys: []string{"k1", "k2"}}},
	})
}

func TestMatch(t *testing.T) {
	cf := testConfiguration(1)
	for _, ca := range []struct{ name, host, path, route string }{
		{"longest prefix", "books.example", "/a/b/c", "deep"},
		{"shorter prefix", "books.example", "/a/bc", "all"},
		{"prefix itself", "books.example", "/a/", "all"},
		{"missing trailing slash", "books.example", "/a", ""},
		{"port and case", "Books.Example:8080", "/a/x", "all"},
		{"other host", "other.example", "/a/x", ""},
	} {
		t.Run(ca.name, func(t *testing.T) {
			ro, found := cf.Match(ca.host, ca.path)
			g := NewWithT(t)
			g.Expect(found).To(Equal(ca.route != ""))
			g.Expect(ro.Name).To(Equal(ca.route))
		})
	}
}

// Guards against a route without a path prefix that took the requests to all paths of its host.
func TestRouteWithoutPrefixMatchesNoPath(t *testing.T) {
	g := NewWithT(t)
	cf := New(Spec{Version: 1, Routes: []Route{
		{Name: "none", Host: "books.example", Public: true, Shares: []Share{{Service: "desk", Weight: 1}}},
		{Name: "root", Host: "open.example", PathPrefix: "/", Shares: []Share{{Service: "desk", Weight: 1}}},
	}})
	_, found := cf.Match("books.example", "/a/b")
	g.Expect(found).To(BeFalse())
	ro, _ := cf.Match("open.example", "/a/b")
	g.Expect(ro.Name).To(Equal("root"))
}

func TestKeys(t *testing.T) {
	g := NewWithT(t)
	cf := testConfiguration(1)
	deep, _ := cf.Match("books.example", "/a/b/")
	open, _ := cf.Match("open.example", "/")
	g.Expect(cf.NeedsKey(deep)).To(BeTrue())
	g.Expect(cf.NeedsKey(open)).To(BeFalse())
	g.Expect(New(Spec{HasTeams: true}).NeedsKey(deep)).To(BeTrue(), "an empty list")
	g.Expect(New(Spec{HasTeams: true}).NeedsKey(open)).To(BeFalse(), "an empty list")
	g.Expect(New(Spec{}).NeedsKey(deep)).To(BeFalse(), "no list")
	te, known := cf.Team("k2")
	g.Expect(known).To(BeTrue())
	g.Expect(te.Name).To(Equal("students"))
	_, known = cf.Team("")
	g.Expect(known).To(BeFalse())
	g.Expect(cf.Keys()).To(Equal(2))
	empty := New(Spec{Teams: []Team{{Name: "students", Keys: []string{""}}}})
	_, known = empty.Team("")
	g.Expect(known).To(BeFalse(), "an empty key")
	g.Expect(empty.Keys()).To(BeZero(), "an empty key")
}

// A split follows its weights, and a request ID always maps to the same service.
func TestSplit(t *testing.T) {
	g := NewWithT(t)
	ro := Route{Shares: []Share{{"a", 90}, {"none", 0}, {"b", 10}}}
	counts := make(map[string]int)
	const requests = 20_000
	for ix := range requests {
		id := strconv.Itoa(ix)
		counts[ro.ServiceOf(id)]++
		g.Expect(ro.ServiceOf(id)).To(Equal(ro.ServiceOf(id)))
	}
	g.Expect(counts["none"]).To(BeZero())
	g.Expect(counts["b"]).To(BeNumerically("~", requests/10, requests/100))
	g.Expect(counts["a"] + counts["b"]).To(Equal(requests))
}

// Guards against a route whose only service has the weight zero and that sent all of its requests
// there.
func TestServicesWithoutWeightGetNoRequests(t *testing.T) {
	g := NewWithT(t)
	for _, shares := range [][]Share{nil, {}, {{"none", 0}}, {{"none", -1}}, {{"none", 0}, {"other", 0}}} {
		g.Expect(Route{Shares: shares}.ServiceOf("request")).To(BeEmpty(), "%v", shares)
	}
	g.Expect(Route{Shares: []Share{{"only", 0.1}}}.ServiceOf("request")).To(Equal("only"))
}

// The version in force never decreases, in whichever order versions arrive.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		st := &State{Clock: &boottime.Manual{}}
		highest := int64(0)
		for _, version := range rapid.SliceOfN(rapid.Int64Range(1, 20), 1, 30).Draw(rt, "versions") {
			st.Put(testConfiguration(version))
			highest = max(highest, version)
			if got := st.Load().Version; got != highest {
				rt.Fatalf("version %d in force, want %d", got, highest)
			}
		}
	})
}

// The age of a confirmation includes suspensions of the machine, and an older
// confirmation that arrives late does not reset it.
func TestProofAge(t *testing.T) {
	g := NewWithT(t)
	clock := &boottime.Manual{}
	clock.Advance(time.Minute)
	st := &State{Clock: clock}
	_, confirmed := st.Age()
	g.Expect(confirmed).To(BeFalse())
	st.Confirm(clock.Now())
	_, confirmed = st.Age()
	g.Expect(confirmed).To(BeFalse(), "a confirmation without a configuration does not count")
	st.Put(testConfiguration(1))
	st.Confirm(clock.Now())
	clock.Advance(3 * time.Second)
	st.Confirm(clock.Now() - 5*time.Second)
	age, confirmed := st.Age()
	g.Expect(confirmed).To(BeTrue())
	g.Expect(age).To(Equal(3 * time.Second))
}
