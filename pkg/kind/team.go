package kind

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Role is the permission of a bearer token.
type Role string

// The roles of a token. RoleCaller allows requests to services. The other three
// are for operators, and each of them includes the one before it.
const (
	RoleCaller  Role = "caller"
	RoleView    Role = "view"
	RolePlan    Role = "plan"
	RoleConfirm Role = "confirm"
)

// Team is a group of callers that share bearer tokens and a weight in the fair
// queues.
type Team struct {
	Name string `json:"name"`
	// Half is the name of the half that the team belongs to. If it is empty, the
	// team may use the objects of all halves.
	Half string `json:"half,omitempty"`
	// Weight is the share of the team in the fair queues relative to other teams,
	// from 1 to 1000.
	Weight int `json:"weight"`
	// TokenHashes are the hex SHA-256 digests of the team's bearer tokens.
	TokenHashes []string `json:"token_hashes"`
	// Role is the permission of all tokens of the team.
	Role Role `json:"role"`
}

const maxTeamWeight = 1000

// HashToken returns the hex SHA-256 digest of a bearer token, as in
// Team.TokenHashes.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// May reports whether the role of the team includes want. RoleCaller and the
// roles of operators do not include each other, and no role includes an unknown
// one.
func (te Team) May(want Role) bool {
	if want == RoleCaller || te.Role == RoleCaller {
		return te.Role == want
	}
	order := []Role{RoleView, RolePlan, RoleConfirm}
	wanted := slices.Index(order, want)
	return wanted >= 0 && slices.Index(order, te.Role) >= wanted
}

// WithWeight returns a copy of the team with another weight.
func (te Team) WithWeight(weight int) Team {
	te.Weight = weight
	return te
}

// WithHalf returns a copy of the team assigned to the half.
func (te Team) WithHalf(half string) Team {
	te.Half = half
	return te
}

// Validate checks the fields of the team.
func (te Team) Validate() error {
	if err := checkName("team", te.Name); err != nil {
		return err
	}
	if te.Weight < 1 || te.Weight > maxTeamWeight {
		return &Error{Op: "team", Name: te.Name, Field: "weight", Kind: Invalid, Detail: "allowed are 1 to 1000"}
	}
	for _, hash := range te.TokenHashes {
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != sha256.Size {
			return &Error{Op: "team", Name: te.Name, Field: "token_hashes", Kind: Invalid, Detail: "each must be a SHA-256 digest in 64 hex digits"}
		}
	}
	if !slices.Contains([]Role{RoleCaller, RoleView, RolePlan, RoleConfirm}, te.Role) {
		return &Error{Op: "team", Name: te.Name, Field: "role", Kind: Invalid, Detail: `allowed are "caller", "view", "plan" and "confirm"`}
	}
	return nil
}

// UnmarshalJSON decodes and validates a team. Absent fields have the values of
// DefaultTeam: the weight is 1, and the role is RoleCaller.
func (te *Team) UnmarshalJSON(data []byte) error {
	next, err := DefaultTeam.WithFields(data)
	*te = next
	return err
}

// WithFields returns a validated copy in which the fields of a JSON object
// replace those of the team. Fields that the JSON lacks keep their values.
func (te Team) WithFields(data []byte) (Team, error) {
	type plain Team
	pl := plain(te)
	pl.TokenHashes = replaceable(pl.TokenHashes, data, "token_hashes")
	if err := decode("team", data, &pl); err != nil {
		return Team{}, err
	}
	next := Team(pl)
	return next, next.Validate()
}
