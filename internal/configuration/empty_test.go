package configuration_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	. "github.com/onsi/gomega"

	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

// lastOfEachKind returns a configuration with one object of each kind.
func lastOfEachKind(t *testing.T) *kind.Configuration {
	t.Helper()
	cf, err := kind.NewConfiguration(kind.Document{
		Version: 1, Zones: []kind.Zone{{Name: "a", State: kind.ZoneServing}},
		Teams:     []kind.Team{{Name: "desk", Weight: 1, Role: kind.RoleCaller, TokenHashes: []string{kind.HashToken("good")}}},
		Services:  []kind.Service{{Name: "rental", Type: kind.ServicePlain}},
		Endpoints: []kind.Endpoint{{Name: "e1", Service: "rental", Zone: "a", URL: "http://127.0.0.1:1", State: kind.EndpointServing, Capacity: kind.Capacity{Sequences: 1, ColdSequences: 1}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return cf
}

// A kind whose last object is gone has no shard, so that its list is in no document. Neither an
// instance that knows the version before, nor one that gets the bundle from another instance, may
// take that for a list that did not change.
func TestLastObjectOfAKindIsGone(t *testing.T) {
	ctx, store := t.Context(), platformfake.New()
	for _, ca := range []struct {
		name   string
		change func(*kind.Configuration) (*kind.Configuration, error)
		expect func(*WithT, *kind.Configuration)
	}{
		{
			"endpoint",
			func(cf *kind.Configuration) (*kind.Configuration, error) { return cf.WithoutEndpoint("e1") },
			func(g *WithT, cf *kind.Configuration) {
				g.Expect(cf.Endpoints()).To(BeEmpty())
				g.Expect(cf.ServiceEndpoints("rental")).To(BeEmpty())
				g.Expect(cf.Teams()).To(HaveLen(1))
			},
		},
		{
			"token of a team",
			func(cf *kind.Configuration) (*kind.Configuration, error) {
				te, _ := cf.Team("desk")
				te, err := te.WithFields([]byte(`{"token_hashes":[]}`))
				if err != nil {
					return nil, err
				}
				return cf.WithTeam(te)
			},
			func(g *WithT, cf *kind.Configuration) {
				_, known := cf.TeamByToken("good")
				g.Expect(known).To(BeFalse())
				g.Expect(cf.Endpoints()).To(HaveLen(1))
			},
		},
		{
			"all objects",
			func(*kind.Configuration) (*kind.Configuration, error) { return kind.NewConfiguration(kind.Document{}) },
			func(g *WithT, cf *kind.Configuration) {
				_, known := cf.TeamByToken("good")
				g.Expect(known).To(BeFalse())
				g.Expect(cf.Endpoints()).To(BeEmpty())
				g.Expect(cf.Services()).To(BeEmpty())
			},
		},
	} {
		t.Run(ca.name, func(t *testing.T) {
			g := NewWithT(t)
			cf := lastOfEachKind(t)
			before, err := configuration.Pack(cf)
			g.Expect(err).NotTo(HaveOccurred())
			changed, err := ca.change(cf)
			g.Expect(err).NotTo(HaveOccurred())
			next, err := before.Next(changed, configuration.Move{Plan: "p"})
			g.Expect(err).NotTo(HaveOccurred())
			_, version, err := configuration.Read(ctx, store, nil)
			if err != nil {
				version = 0
			}
			_, err = configuration.PublishBundle(ctx, store, version, next, nil)
			g.Expect(err).NotTo(HaveOccurred())
			read, _, err := configuration.Read(ctx, store, before)
			g.Expect(err).NotTo(HaveOccurred())
			ca.expect(g, read.Configuration())

			st := &configuration.State{Holder: new(snapshot.Holder[kind.Configuration])}
			st.Apply(next, configuration.FromPlatform)
			var reply configuration.FetchReply
			se := &configuration.Service{State: st}
			g.Expect(se.Fetch(configuration.FetchArgs{}, &reply)).To(Succeed())
			var wire bytes.Buffer
			g.Expect(gob.NewEncoder(&wire).Encode(reply)).To(Succeed())
			var received configuration.FetchReply
			g.Expect(gob.NewDecoder(&wire).Decode(&received)).To(Succeed())
			fetched, err := configuration.Unpack(received.Head, received.Shards)
			g.Expect(err).NotTo(HaveOccurred())
			ca.expect(g, fetched.Configuration())
		})
	}
}

// Guards against a head without its list of shards that counted as one with an empty list: all
// teams, services and endpoints were gone.
func TestHeadWithoutShardsIsDamaged(t *testing.T) {
	for head, valid := range map[string]bool{
		`{}`: false, `null`: false, `{"version":9}`: false, `{"version":9,"shards":[]}`: true, `{"version":9,"shards":null}`: true,
	} {
		t.Run(head, func(t *testing.T) {
			g, store := NewWithT(t), platformfake.New()
			_, err := store.Update(t.Context(), configuration.HeadKey, 0, []byte(head))
			g.Expect(err).NotTo(HaveOccurred())
			_, _, err = configuration.Read(t.Context(), store, nil)
			g.Expect(configuration.IsKind(err, configuration.Damaged)).To(Equal(!valid), "got error %v", err)
		})
	}
}
