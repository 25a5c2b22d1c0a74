package intent_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/intent"
	"filbertstall.example/filbertstall/pkg/kind"
)

func twoHalves(t *testing.T) *kind.Configuration {
	t.Helper()
	cf, err := kind.NewConfiguration(kind.Document{
		Version: 1, Halves: []kind.Half{{Name: "blue"}, {Name: "green"}}, Zones: []kind.Zone{{Name: "a", Half: "blue", State: kind.ZoneServing}},
		Teams:     []kind.Team{{Name: "desk", Half: "blue", Weight: 1, Role: kind.RoleCaller}},
		Services:  []kind.Service{{Name: "rental", Half: "blue", Type: kind.ServicePlain}},
		Endpoints: []kind.Endpoint{{Name: "e1", Service: "rental", Zone: "a", Half: "blue", URL: "http://127.0.0.1:1", State: kind.EndpointServing, Capacity: kind.Capacity{Sequences: 1, ColdSequences: 1}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return cf
}

// half returns the half of an object in the outcome of an intent.
func half(cf *kind.Configuration, object string) string {
	switch object {
	case "team":
		te, _ := cf.Team("desk")
		return te.Half
	case "service":
		se, _ := cf.Service("rental")
		return se.Half
	case "zone":
		zo, _ := cf.Zone("a")
		return zo.Half
	default:
		en, _ := cf.Endpoint("e1")
		return en.Half
	}
}

// Guards against an assignment that names no half and opened its object to both halves, as an
// empty half does.
func TestAssignmentWithoutHalfOpensNothing(t *testing.T) {
	names := map[string]string{"team": "desk", "service": "rental", "zone": "a", "endpoint": "e1"}
	for object, name := range names {
		for _, ca := range []struct {
			name, field string
			valid       bool
			want        string
		}{
			{"no half", ``, false, ""},
			{"null", `, "half": null`, false, ""},
			{"empty half", `, "half": ""`, true, ""},
			{"half", `, "half": "green"`, true, "green"},
		} {
			t.Run(object+", "+ca.name, func(t *testing.T) {
				g := NewWithT(t)
				in, err := intent.Parse("test", []byte(`{"actions": [{"assign": {"`+object+`": "`+name+`"`+ca.field+`}}]}`))
				g.Expect(err).NotTo(HaveOccurred())
				ta, err := in.Target(twoHalves(t))
				if !ca.valid {
					g.Expect(err).To(MatchError(ContainSubstring("half")))
					g.Expect(half(ta.Final, object)).To(Equal("blue"))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(half(ta.Final, object)).To(Equal(ca.want))
			})
		}
	}
}
