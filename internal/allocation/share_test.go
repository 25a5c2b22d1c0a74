package allocation

import (
	"flag"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
}

// viewHistories contains the views that each instance has seen.
type viewHistories struct {
	seen   map[string]*views
	now    time.Time
	places int
}

// check fails the test if the shares add up to more than all places.
func (hi *viewHistories) check(t *rapid.T, when string) {
	sum := 0
	for name, vi := range hi.seen {
		sum += vi.share(name, "engine-1", hi.places)
	}
	if sum > hi.places {
		t.Fatalf("shares of %d places add up to %d %s", hi.places, sum, when)
	}
}

// observe shows a view to the instances that are not behind.
func (hi *viewHistories) observe(members []string, behind map[string]bool) {
	for name, vi := range hi.seen {
		if !behind[name] {
			hi.seen[name] = vi.with(hi.now, members)
		}
	}
}

// confirm lets a random part of the members confirm a view, if it covers the
// older views of all of them.
func (hi *viewHistories) confirm(t *rapid.T, members []string) {
	for _, name := range members {
		if !hi.seen[name].coversOlder(hi.now) {
			return
		}
	}
	for _, name := range members {
		if rapid.Bool().Draw(t, name+" confirms") {
			hi.seen[name] = hi.seen[name].withConfirmed()
		}
	}
}

// Checks that the shares never add up to more than the places while the
// instances' newest views are at most one version apart, and that all places
// are distributed while the views agree.
func TestShares(t *testing.T) {
	var names []string
	for ix := range 6 {
		names = append(names, "entry-"+strconv.Itoa(ix))
	}
	rapid.Check(t, func(t *rapid.T) {
		hi := &viewHistories{seen: make(map[string]*views), now: time.Unix(0, 0)}
		hi.places = rapid.IntRange(0, 40).Draw(t, "places")
		for range rapid.IntRange(2, 6).Draw(t, "versions") {
			hi.now = hi.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "seconds")) * time.Second)
			members := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 6, rapid.ID[string]).Draw(t, "members")
			behind := make(map[string]bool)
			for _, name := range names {
				if hi.seen[name] == nil {
					hi.seen[name] = &views{}
				}
				behind[name] = rapid.Bool().Draw(t, name+" behind")
			}
			hi.observe(members, behind)
			hi.check(t, "while views differ")
			hi.observe(members, nil)
			hi.check(t, "while views agree")
			hi.confirm(t, members)
			hi.check(t, "after confirming")
		}
		total := 0
		for _, name := range names {
			total += shareOf(names, name, "engine-1", hi.places)
		}
		if total != hi.places {
			t.Fatalf("the shares add up to %d of %d places", total, hi.places)
		}
	})
}
