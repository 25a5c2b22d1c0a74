package configuration_test

import (
	"context"
	"flag"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"filbertstall.example/filbertstall/internal/configuration"
	"filbertstall.example/filbertstall/internal/platform"
	"filbertstall.example/filbertstall/internal/platform/platformfake"
	"filbertstall.example/filbertstall/internal/snapshot"
	"filbertstall.example/filbertstall/pkg/kind"
)

func init() {
	// A fixed seed makes runs of CI reproducible.
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

// fullSizeConfiguration returns a configuration of the size that the system is
// designed for: 290 teams and 1200 endpoints.
func fullSizeConfiguration(t testing.TB) *kind.Configuration {
	t.Helper()
	doc := kind.Document{
		Version: 1, Zones: []kind.Zone{{Name: "dalseo", Region: "yeongnam", State: kind.ZoneServing}},
		Services: []kind.Service{{Name: "filbert-pool", Type: kind.ServiceModel, Model: "filbert"}},
	}
	for ix := range 290 {
		hash := kind.HashToken(fmt.Sprint(ix))
		doc.Teams = append(doc.Teams, kind.Team{Name: fmt.Sprintf("team-%d", ix), Weight: 1, Role: kind.RoleCaller, TokenHashes: []string{hash, kind.HashToken(hash)}})
	}
	for ix := range 1200 {
		doc.Endpoints = append(doc.Endpoints, kind.Endpoint{
			Name: fmt.Sprintf("yeongnam-dalseo-engine-%d", ix), Service: "filbert-pool", Zone: "dalseo", URL: "http://10.100.100.100:8000",
			State: kind.EndpointServing, Capacity: kind.Capacity{Sequences: 256, ColdSequences: 4, MemoryTokens: 60000},
		})
	}
	cf, err := kind.NewConfiguration(doc)
	if err != nil {
		t.Fatal(err)
	}
	return cf
}

// Scenario: a configuration of full size is published and one endpoint changes.
// No object exceeds a quarter of the largest value that the platform accepts,
// and the change writes one shard and the head only.
func TestShardsAtFullSize(t *testing.T) {
	ctx, store := t.Context(), platformfake.New()
	cf := fullSizeConfiguration(t)
	headObjectVersion, err := configuration.Publish(ctx, store, 0, cf)
	if err != nil {
		t.Fatal(err)
	}
	biggest, total := 0, 0
	for _, ob := range store.Snapshot() {
		biggest, total = max(biggest, len(ob.Value)), total+len(ob.Value)
	}
	t.Logf("1200 endpoints and 290 teams: %d bytes, the largest object has %d", total, biggest)
	if biggest > platform.MaxValueBytes/4 {
		t.Errorf("the largest object has %d bytes, want at most a quarter of platform.MaxValueBytes", biggest)
	}
	bu, _, err := configuration.Read(ctx, store, nil)
	if err != nil {
		t.Fatal(err)
	}
	en, _ := cf.Endpoint("yeongnam-dalseo-engine-7")
	changed, err := cf.WithEndpoint(en.WithState(kind.EndpointDraining))
	if err != nil {
		t.Fatal(err)
	}
	next, err := bu.Next(changed, configuration.Move{Plan: "p"})
	if err != nil {
		t.Fatal(err)
	}
	_, before := store.Calls()
	if _, err := configuration.PublishBundle(ctx, store, headObjectVersion, next, bu); err != nil {
		t.Fatal(err)
	}
	if _, writes := store.Calls(); writes-before != 2 {
		t.Errorf("one change took %d writes, want 2", writes-before)
	}
}

func TestUnpackRefusesWhatIsDamaged(t *testing.T) {
	he := configuration.Head{Version: 1, Shards: []string{"abc"}}
	if _, err := configuration.Unpack(he, nil); !configuration.IsKind(err, configuration.Incomplete) {
		t.Errorf("missing shard: got error %v, want kind Incomplete", err)
	}
	if _, err := configuration.Unpack(he, map[string][]byte{"abc": []byte("{}")}); !configuration.IsKind(err, configuration.Damaged) {
		t.Errorf("shard that does not match its hash: got error %v, want kind Damaged", err)
	}
}

func bundle(rt *rapid.T, version int64, weight int) *configuration.Bundle {
	team := kind.Team{Name: "analysts", Weight: weight, Role: kind.RoleCaller}
	cf, err := kind.NewConfiguration(kind.Document{Version: version, Teams: []kind.Team{team}})
	if err != nil {
		rt.Fatal(err)
	}
	bu, err := configuration.Pack(cf)
	if err != nil {
		rt.Fatal(err)
	}
	return bu
}

// Scenario: versions arrive in any order. The version in force never falls,
// requests see the same version, and a different configuration of the version in
// force is reported as diverged.
func TestStateOnlyRises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		holder := new(snapshot.Holder[kind.Configuration])
		st := &configuration.State{Holder: holder, Log: zerolog.Nop()}
		weights := make(map[int64]int)
		var highest int64
		diverged := false
		for range rapid.IntRange(1, 30).Draw(rt, "arrivals") {
			version, weight := rapid.Int64Range(1, 8).Draw(rt, "version"), rapid.IntRange(1, 2).Draw(rt, "weight")
			applied := st.Apply(bundle(rt, version, weight), configuration.FromPlatform)
			if applied != (version > highest) {
				rt.Fatalf("version %d arrives while %d is in force: Apply returned %t", version, highest, applied)
			}
			if version > highest {
				highest, weights[version] = version, weight
			} else if version == highest && weights[version] != weight {
				diverged = true
			}
			te, _ := holder.Load().Team("analysts")
			if st.Version() != highest || holder.Load().Version() != highest || te.Weight != weights[highest] {
				rt.Fatalf("got version %d with weight %d in force, want version %d with weight %d", holder.Load().Version(), te.Weight, highest, weights[highest])
			}
			if st.Standing().Diverged != diverged || st.Standing().PlatformVersion != version {
				rt.Fatalf("Diverged or PlatformVersion is wrong: got standing %+v", st.Standing())
			}
		}
	})
}

// Scenario: several writers update the same head, also with lost responses from
// the store. Exactly one succeeds, and readers get its bundle.
func TestPublishHasOneWinner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx, store := context.Background(), platformfake.New()
		if rapid.Bool().Draw(rt, "lost") {
			store.SetFault(platformfake.LoseResponses)
		}
		first := bundle(rt, 1, 1)
		headObjectVersion, err := configuration.PublishBundle(ctx, store, 0, first, nil)
		if err != nil {
			rt.Fatal(err)
		}
		writers := rapid.IntRange(2, 5).Draw(rt, "writers")
		winner := -1
		for ix := range writers {
			next := bundle(rt, 2, 2+ix)
			_, err := configuration.PublishBundle(ctx, store, headObjectVersion, next, first)
			if err == nil && winner >= 0 {
				rt.Fatalf("writers %d and %d both succeeded", winner, ix)
			}
			if err == nil {
				winner = ix
			} else if !configuration.IsKind(err, configuration.Conflict) {
				rt.Fatal(err)
			}
		}
		bu, _, err := configuration.Read(ctx, store, nil)
		if err != nil {
			rt.Fatal(err)
		}
		if te, _ := bu.Configuration().Team("analysts"); winner < 0 || te.Weight != 2+winner {
			rt.Fatalf("writer %d succeeded, but the store has weight %d", winner, te.Weight)
		}
	})
}
