package kind_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/pkg/kind"
)

// Guards against fields that a new list of routes leaves out and that kept the values of the
// route that stood in the same place before: a call that is not idempotent was repeated.
func TestNewRoutesTakeNothingFromOldOnes(t *testing.T) {
	g := NewWithT(t)
	var se kind.Service
	g.Expect(se.UnmarshalJSON([]byte(`{"name":"desk","type":"plain","routes":[{"method":"GET","path":"/loans","idempotent":true}]}`))).To(Succeed())
	next, err := se.WithFields([]byte(`{"routes":[{"method":"POST","path":"/loans"}]}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next.Idempotent("POST", "/loans")).To(BeFalse())
	_, err = se.WithFields([]byte(`{"routes":[{"path":"/loans"}]}`))
	g.Expect(err).To(HaveOccurred(), "a route without a method")
	kept, err := se.WithFields([]byte(`{"name":"desk"}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(kept.Routes).To(Equal(se.Routes), "routes that the change leaves out")
}

// Guards against a null in a new list of tokens that kept the digest which stood there before: a
// token that was taken away stayed valid.
func TestNewTokensTakeNothingFromOldOnes(t *testing.T) {
	g := NewWithT(t)
	team := kind.Team{Name: "desk", Weight: 1, Role: kind.RoleCaller, TokenHashes: []string{kind.HashToken("old")}}
	_, err := team.WithFields([]byte(`{"token_hashes":[null]}`))
	g.Expect(err).To(HaveOccurred(), "null is no digest")
	for _, none := range []string{`{"token_hashes":[]}`, `{"token_hashes":null}`} {
		next, err := team.WithFields([]byte(none))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(next.TokenHashes).To(BeEmpty())
	}
	kept, err := team.WithFields([]byte(`{"weight":2}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(kept.TokenHashes).To(Equal(team.TokenHashes), "tokens that the change leaves out")
	g.Expect(team.TokenHashes).To(Equal([]string{kind.HashToken("old")}), "the original")
}
