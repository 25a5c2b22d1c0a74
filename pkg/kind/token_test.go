package kind_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/pkg/kind"
)

// Guards against an empty token that belongs to a team, whose token_hashes has the digest of the
// empty text.
func TestEmptyTokenBelongsToNobody(t *testing.T) {
	g := NewWithT(t)
	cf, err := kind.NewConfiguration(kind.Document{Version: 1, Teams: []kind.Team{
		{Name: "ops", Weight: 1, Role: kind.RoleConfirm, TokenHashes: []string{kind.HashToken(""), kind.HashToken("good")}},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	_, known := cf.TeamByToken("")
	g.Expect(known).To(BeFalse())
	_, known = cf.TeamByToken("good")
	g.Expect(known).To(BeTrue())
}
