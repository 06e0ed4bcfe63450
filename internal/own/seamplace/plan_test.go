package seamplace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamplace"
	"cardamomseam/internal/own/seamslot"
)

var now = seamclock.Instant{Mono: time.Hour, Wall: 1000 * time.Hour}

func member(name, domain string) seamplace.Member {
	return seamplace.Member{Name: name, Domain: domain, Region: "erie", Capacity: 12, SupportsStandby: true}
}

func slot(index uint32, owner, standby string, rate float64) seamplace.Slot {
	id := seamslot.ID{Service: "calendar", Index: index}
	return seamplace.Slot{ID: id, Owner: owner, Standby: standby, Rate: rate}
}

// four are two members in each of two failure domains.
func four() []seamplace.Member {
	return []seamplace.Member{member("a1", "a"), member("a2", "a"), member("b1", "b"), member("b2", "b")}
}

// apply returns the view after the moves.
func apply(v seamplace.View, at seamclock.Instant, moves []seamplace.Move) seamplace.View {
	v.Slots = slices.Clone(v.Slots)
	byID := map[seamslot.ID]*seamplace.Slot{}
	for i := range v.Slots {
		byID[v.Slots[i].ID] = &v.Slots[i]
	}
	for _, m := range moves {
		s := byID[m.Slot]
		if s.Owner != m.To {
			s.MovedAt = at
		}
		s.Owner, s.Standby = m.To, m.Standby
	}
	return v
}

func TestPlan(t *testing.T) {
	type want struct {
		slot             uint32
		from, to, backup string
		reason           seamplace.Reason
	}
	draining := four()
	draining[0].Draining = true
	far := append(four(), seamplace.Member{Name: "s1", Domain: "s", Region: "superior", Capacity: 12, SupportsStandby: true})
	called := slot(0, "a1", "b1", 100)
	called.CallerShares = map[string]float64{"superior": 0.9, "erie": 0.1}
	fresh := slot(0, "a1", "b1", 100)
	fresh.MovedAt = now.Add(-time.Second)
	tests := []struct {
		name    string
		members []seamplace.Member
		slots   []seamplace.Slot
		want    []want
	}{
		{"nothing to do", four(), []seamplace.Slot{slot(0, "a1", "b1", 10), slot(1, "b1", "a1", 10)}, nil},
		{"no members", nil, []seamplace.Slot{slot(0, "a1", "b1", 10)}, nil},
		{
			"lost owner: standby is promoted",
			four(),
			[]seamplace.Slot{slot(0, "gone", "b2", 10)},
			[]want{{0, "gone", "b2", "a1", seamplace.ReasonAssign}},
		},
		{
			"lost standby",
			four(),
			[]seamplace.Slot{slot(0, "a1", "gone", 0)},
			[]want{{0, "a1", "a1", "b1", seamplace.ReasonStandby}},
		},
		{
			"standby in the owner's domain",
			four(),
			[]seamplace.Slot{slot(0, "a1", "a2", 0)},
			[]want{{0, "a1", "a1", "b1", seamplace.ReasonStandby}},
		},
		{
			"draining owner hands over to the standby",
			draining,
			[]seamplace.Slot{slot(0, "a1", "b2", 10)},
			[]want{{0, "a1", "b2", "a2", seamplace.ReasonDrain}},
		},
		{
			"callers in another region",
			far,
			[]seamplace.Slot{called},
			[]want{{0, "a1", "s1", "b1", seamplace.ReasonRegion}},
		},
		{"moved lately", far, []seamplace.Slot{fresh, slot(1, "a1", "b1", 100)}, []want{{1, "a1", "b1", "a1", seamplace.ReasonBalance}}},
		{"too little load", four(), []seamplace.Slot{slot(0, "a1", "b1", 0.1), slot(1, "a1", "b1", 0.1)}, nil},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			v := seamplace.View{Members: x.members, Slots: x.slots, Config: seamplace.DefaultConfig()}
			var got []want
			for _, m := range seamplace.Plan(now, v) {
				got = append(got, want{m.Slot.Index, m.From, m.To, m.Standby, m.Reason})
			}
			if d := cmp.Diff(x.want, got, cmp.AllowUnexported(want{})); d != "" {
				t.Fatal(d)
			}
		})
	}
}

func TestOnlyOtherSlotsOfHotSlotOwnerMove(t *testing.T) {
	slots := []seamplace.Slot{slot(0, "a1", "", 100)}
	slots[0].Hot = true
	for i, owner := range []string{"a1", "a1", "a1", "a2", "b1", "b2"} {
		slots = append(slots, slot(uint32(i+1), owner, "", 25))
	}
	members := four()
	for i := range members {
		members[i].SupportsStandby = false
	}
	moves := seamplace.Plan(now, seamplace.View{Members: members, Slots: slots, Config: seamplace.DefaultConfig()})
	if len(moves) != 3 {
		t.Fatalf("moves are %+v", moves)
	}
	for _, m := range moves {
		if m.Slot.Index == 0 || m.From != "a1" {
			t.Errorf("move is %+v, want only neighbours of slot 0", m)
		}
	}
}

// TestWeightsDecide checks that a small imbalance is mended by the deployment that weighs
// imbalance, and left by the one that weighs unavailable time.
func TestWeightsDecideWhetherSlotsMove(t *testing.T) {
	slots := []seamplace.Slot{slot(0, "a1", "b1", 50)}
	for i := range uint32(60) {
		slots = append(slots, slot(i+1, four()[i%4].Name, four()[(i+2)%4].Name, 50))
	}
	count := func(imbalance, unavailable float64) int {
		c := seamplace.DefaultConfig()
		c.Imbalance, c.Unavailable = imbalance, unavailable
		slots[1].Rate = 150
		return len(seamplace.Plan(now, seamplace.View{Members: four(), Slots: slots, Config: c}))
	}
	if n := count(4, 1); n == 0 {
		t.Error("nothing moves although imbalance weighs most")
	}
	if n := count(1, 100); n != 0 {
		t.Errorf("%d slots move although unavailable time weighs most", n)
	}
}

// view draws a random view.
func view(r *rapid.T) seamplace.View {
	c := seamplace.DefaultConfig()
	c.Dwell = rapid.SampledFrom([]time.Duration{0, time.Minute}).Draw(r, "dwell")
	v := seamplace.View{Config: c}
	names := []string{"", "gone"}
	for i := range rapid.IntRange(0, 8).Draw(r, "members") {
		m := member(fmt.Sprintf("m%d", i), rapid.SampledFrom([]string{"a", "b"}).Draw(r, "domain"))
		m.Draining = rapid.IntRange(0, 4).Draw(r, "draining") == 0
		m.SupportsStandby = rapid.Bool().Draw(r, "copies")
		m.Region = rapid.SampledFrom([]string{"erie", "superior"}).Draw(r, "region")
		v.Members = append(v.Members, m)
		names = append(names, m.Name)
	}
	for i := range rapid.IntRange(0, 30).Draw(r, "slots") {
		owner := rapid.SampledFrom(names).Draw(r, "owner")
		s := slot(uint32(i), owner, rapid.SampledFrom(names).Draw(r, "standby"), rapid.Float64Range(0, 100).Draw(r, "rate"))
		if s.Standby == s.Owner {
			s.Standby = ""
		}
		s.Hot = rapid.Bool().Draw(r, "hot")
		s.MovedAt = now.Add(-rapid.SampledFrom([]time.Duration{time.Second, time.Hour}).Draw(r, "moved"))
		s.CallerShares = map[string]float64{rapid.SampledFrom([]string{"erie", "superior", "far"}).Draw(r, "caller"): 0.8}
		v.Slots = append(v.Slots, s)
	}
	return v
}

func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := view(r)
		moves := seamplace.Plan(now, v)
		checkMoves(r, v, moves)
		if len(moves) > 0 || len(v.Members) > 0 {
			checkResult(r, v, apply(v, now, moves))
		}
		shuffled := v
		shuffled.Slots, shuffled.Members = slices.Clone(v.Slots), slices.Clone(v.Members)
		random := rand.New(rand.NewPCG(1, 1))
		random.Shuffle(len(v.Slots), func(i, j int) {
			shuffled.Slots[i], shuffled.Slots[j] = shuffled.Slots[j], shuffled.Slots[i]
		})
		slices.Reverse(shuffled.Members)
		if d := cmp.Diff(moves, seamplace.Plan(now, shuffled)); d != "" {
			r.Fatalf("the order of the view matters: %s", d)
		}
	})
}

func checkMoves(r *rapid.T, v seamplace.View, moves []seamplace.Move) {
	before := map[seamslot.ID]seamplace.Slot{}
	for _, s := range v.Slots {
		before[s.ID] = s
	}
	improvements := 0
	for i, m := range moves {
		s := before[m.Slot]
		if i > 0 && moves[i-1].Slot.Index >= m.Slot.Index {
			r.Fatalf("slot %s moves twice or out of order", m.Slot)
		}
		if m.From != s.Owner || m.To == m.Standby {
			r.Fatalf("move %+v of slot %+v", m, s)
		}
		if m.Reason != seamplace.ReasonBalance && m.Reason != seamplace.ReasonRegion {
			continue
		}
		improvements++
		if m.Gain <= 0 || seamclock.MinElapsed(now, s.MovedAt) < v.Config.Dwell {
			r.Fatalf("move %+v does not pay or comes too early", m)
		}
	}
	if improvements > v.Config.MaxMoves {
		r.Fatalf("%d improving moves, limit %d", improvements, v.Config.MaxMoves)
	}
}

// checkResult checks that no slot is left without an owner, with one that leaves, or with
// a standby that cannot be one.
func checkResult(r *rapid.T, before, after seamplace.View) {
	byName := map[string]seamplace.Member{}
	staying := false
	for _, m := range after.Members {
		byName[m.Name] = m
		staying = staying || !m.Draining
	}
	for i, s := range after.Slots {
		owner, ok := byName[s.Owner]
		_, kept := byName[before.Slots[i].Standby]
		if staying && !ok {
			r.Fatalf("slot %+v has no owner", s)
		}
		if staying && owner.Draining && !kept {
			r.Fatalf("slot %+v is left on a draining member", s)
		}
		if s.Standby == "" || !ok {
			continue
		}
		standby := byName[s.Standby]
		if standby.Draining || !standby.SupportsStandby || s.Standby == s.Owner {
			r.Fatalf("slot %+v has the standby %+v", s, standby)
		}
	}
}

// TestPlanSettles checks that a constant load leads to a placement at rest: no slot goes
// to and fro.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := view(r)
		v.Config.Dwell = 0
		at := now
		for range 60 {
			moves := seamplace.Plan(at, v)
			if len(moves) == 0 {
				return
			}
			v = apply(v, at, moves)
			at = at.Add(time.Second)
		}
		r.Fatalf("still moving after 60 plans: %+v", seamplace.Plan(at, v))
	})
}

func BenchmarkPlan(b *testing.B) {
	v := seamplace.View{Config: seamplace.DefaultConfig()}
	for i := range 12 {
		v.Members = append(v.Members, member(fmt.Sprintf("m%d", i), string(rune('a'+i%2))))
	}
	random := rand.New(rand.NewPCG(1, 1))
	for i := range uint32(4096) {
		owner := random.IntN(12)
		standby := v.Members[(owner+1)%12].Name
		v.Slots = append(v.Slots, slot(i, v.Members[owner].Name, standby, random.ExpFloat64()))
	}
	v.Slots[0].Rate = 500
	b.ResetTimer()
	for range b.N {
		seamplace.Plan(now, v)
	}
}
