package kind_test

import (
	"encoding/json"
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/pkg/kind"
)

func TestKind(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kind")
}

func init() {
	// A fixed seed makes runs of CI reproducible.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

var _ = Describe("Team.May", func() {
	DescribeTable("tells what the role of a team includes",
		func(role, want kind.Role, may bool) { Expect(kind.Team{Role: role}.May(want)).To(Equal(may)) },
		Entry("the same role", kind.RolePlan, kind.RolePlan, true),
		Entry("a lower one", kind.RoleConfirm, kind.RoleView, true),
		Entry("a higher one", kind.RoleView, kind.RolePlan, false),
		Entry("a caller's", kind.RoleConfirm, kind.RoleCaller, false),
		Entry("callers have no role of operators", kind.RoleCaller, kind.RoleView, false),
		Entry("one that does not exist", kind.RoleConfirm, kind.Role("owner"), false),
		Entry("to a team with a role that does not exist", kind.Role("owner"), kind.RoleView, false),
	)
})

var _ = Describe("Service.Idempotent", func() {
	se := kind.Service{Routes: []kind.Route{
		{Method: "GET", Path: "/catalogue/{id}", Idempotent: true},
		{Method: "POST", Path: "/loans"},
	}}
	DescribeTable("is true only for calls that a route declares as idempotent",
		func(method, path string, want bool) { Expect(se.Idempotent(method, path)).To(Equal(want)) },
		Entry("declared", "GET", "/catalogue/7", true),
		Entry("declared as not idempotent", "POST", "/loans", false),
		Entry("other method", "PUT", "/catalogue/7", false),
		Entry("deeper path", "GET", "/catalogue/7/pages", false),
		Entry("empty segment", "GET", "/catalogue/", false),
		Entry("unknown", "GET", "/other", false),
	)
})

var _ = Describe("decoding", func() {
	DescribeTable("returns an error of the expected kind for an invalid object",
		func(into any, text string, ki kind.ErrorKind) {
			var er *kind.Error
			err := json.Unmarshal([]byte(text), into)
			Expect(err).To(BeAssignableToTypeOf(er))
			er, _ = err.(*kind.Error)
			Expect(er.Kind).To(Equal(ki))
		},
		Entry("team without a name", new(kind.Team), `{}`, kind.Missing),
		Entry("team with a token in clear text", new(kind.Team), `{"name":"a","token_hashes":["secret"]}`, kind.Invalid),
		Entry("endpoint without a URL", new(kind.Endpoint), `{"name":"e"}`, kind.Invalid),
		Entry("endpoint with more cold sequences than sequences", new(kind.Endpoint), `{"name":"e","url":"http://127.0.0.1:1","capacity":{"sequences":1,"cold_sequences":2}}`, kind.Invalid),
		Entry("configuration with a dangling zone", new(kind.Configuration), `{"services":[{"name":"s","type":"plain"}],"endpoints":[{"name":"e","service":"s","zone":"z","url":"http://127.0.0.1:1"}]}`, kind.Dangling),
		Entry("two services of one half with one model, another half's between them", new(kind.Configuration), `{
			"halves": [{"name": "east"}, {"name": "west"}],
			"services": [
				{"name": "a", "type": "model", "model": "m", "half": "west"},
				{"name": "b", "type": "model", "model": "m", "half": "east"},
				{"name": "c", "type": "model", "model": "m", "half": "west"}
			]}`, kind.Duplicate),
		Entry("two teams with one token", new(kind.Configuration), `{"teams":[{"name":"a","token_hashes":["`+kind.HashToken("t")+`"]},{"name":"b","token_hashes":["`+kind.HashToken("t")+`"]}]}`, kind.Duplicate),
	)
})

func TestWithKeepsTheOriginal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 1, 8, rapid.ID[string]).Draw(rt, "names")
		cf, err := kind.NewConfiguration(kind.Document{})
		if err != nil {
			rt.Fatal(err)
		}
		for ix, name := range names {
			next, err := cf.WithTeam(kind.Team{Name: name, Weight: 1, Role: kind.RoleCaller, TokenHashes: []string{kind.HashToken(name)}})
			if err != nil {
				rt.Fatal(err)
			}
			if _, found := cf.Team(name); found || len(cf.Teams()) != ix || len(next.Teams()) != ix+1 {
				rt.Fatalf("WithTeam changed the original at %q", name)
			}
			if te, found := next.TeamByToken(name); !found || te.Name != name {
				rt.Fatalf("token of %q is not found", name)
			}
			cf = next
		}
	})
}
