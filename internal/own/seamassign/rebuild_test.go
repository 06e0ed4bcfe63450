package seamassign_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/own/seamtable"
)

// rebuilding runs an assigner that was elected in era 2 and found a table of era 1, in which t0 owns all keys.
type rebuilding struct {
	t *testing.T
	*harness
}

func newRebuilding(t *testing.T) *rebuilding {
	t.Helper()
	former := firstIncarnation("t0")
	found := seamtable.Table{Service: "calendar", Epoch: seamtable.NextEpoch(0, 1, 0), Era: 1}
	found.Assign(seamtable.Span{To: seamtable.LastKey}, former, "")
	s := &harness{t: t, stored: found, revision: 1}
	elected := seamtable.Assigner{Name: "a", Incarnation: 1, Epoch: seamtable.NextEpoch(found.Epoch, 2, 0)}
	s.assigner = seamassign.New(seamassign.DefaultConfig(), s.clock(), elected, seamclock.Instant{}, found, s.revision)
	return &rebuilding{t, s}
}

// advance advances the clock, ticks the assigner and writes its table.
func (r *rebuilding) advance(d time.Duration) {
	r.now += d
	r.assigner.Tick(r.clock())
	r.writePending()
}

// report sends a heartbeat of a target that follows the epoch.
func (r *rebuilding) report(name string, claims ...seamassign.Claim) seamassign.Reply {
	return r.assigner.Heartbeat(r.clock(), seamassign.Heartbeat{
		Epoch: r.assigner.Epoch(), Holder: firstIncarnation(name), Node: seampeer.Peer{Name: name}, State: seamassign.Ready,
		NoEarlierGrants: true, Claims: claims,
	})
}

// owned returns the ranges in the store whose holders are known.
func (r *rebuilding) owned() []seamtable.Range {
	var owned []seamtable.Range
	for _, o := range r.stored.Ranges {
		if o.Holder != seamtable.LostHolder() {
			owned = append(owned, o)
		}
	}
	return owned
}

func claim(from, to uint32, fence uint64) seamassign.Claim {
	return seamassign.Claim{Span: seamtable.Span{From: from, To: to}, Fence: fence}
}

// TestLostTableGivesItsOwnersNothing guards against an owner of a copied table that gets keys back which have moved since.
func TestLostTableGivesItsOwnersNothing(t *testing.T) {
	r := newRebuilding(t)
	r.report("t0")
	r.report("t1", claim(100, 199, 7))
	r.advance(seamassign.DefaultConfig().SettleDelay)
	if got := r.report("t0"); len(got.Ranges) != 0 {
		t.Errorf("t0 claimed nothing and got %v", got.Ranges)
	}
	want := []seamtable.Range{{Span: seamtable.Span{From: 100, To: 199}, Holder: firstIncarnation("t1"), Fence: 7}}
	if diff := cmp.Diff(want, r.report("t1").Ranges); diff != "" {
		t.Error(diff)
	}
}

// TestUnclaimedKeysWaitForTheLeasesOfLostAssigners guards against keys that are given away while a holder that is out of reach
// still has them, and against tokens that were given before.
func TestUnclaimedKeysWaitForTheLeasesOfLostAssigners(t *testing.T) {
	r := newRebuilding(t)
	cfg := seamassign.DefaultConfig()
	until := cfg.MaxRemoteDuration(cfg.MaxStoreOutage + cfg.Lease)
	const step = 100 * time.Millisecond
	for r.now < until-step {
		r.report("t1", claim(100, 199, 7))
		r.advance(step)
		if owned := r.owned(); len(owned) > 1 {
			t.Fatalf("%v are assigned after %v, the last lease may end after %v", owned, r.now, until)
		}
	}
	for r.now < until+time.Second {
		r.report("t1")
		r.advance(step)
	}
	if free := r.stored.FreeSpans(); len(free) != 0 || len(r.owned()) != len(r.stored.Ranges) {
		t.Errorf("after %v the ranges are %v", r.now, r.stored.Ranges)
	}
	for _, o := range r.stored.Ranges {
		if o.Fence != 7 && o.Fence <= seamtable.MinFence(2) {
			t.Errorf("%v was assigned under token %d, which an assigner of the era before may have given", o.Span, o.Fence)
		}
	}
}

// TestListWaitsUntilClaimsAreStored guards against a list that lacks the keys which its holder has just claimed.
func TestListWaitsUntilClaimsAreStored(t *testing.T) {
	r := newRebuilding(t)
	r.advance(seamassign.DefaultConfig().SettleDelay)
	if got := r.report("t1", claim(100, 199, 7)); got.Changed || got.Lease != 0 {
		t.Errorf("got %+v before the claim is stored", got)
	}
	if _, ok := r.assigner.Update(firstIncarnation("t1")); ok {
		t.Error("an update was sent before the claim is stored")
	}
	r.advance(0)
	if got := r.report("t1", claim(100, 199, 7)); !got.Changed || len(got.Ranges) != 1 {
		t.Errorf("got %+v after the claim was stored", got)
	}
}

// TestHigherTokenWinsWhereClaimsOverlap guards against a claim that undoes a later one.
func TestHigherTokenWinsWhereClaimsOverlap(t *testing.T) {
	for _, order := range [][]string{{"t1", "t2"}, {"t2", "t1"}} {
		r := newRebuilding(t)
		claims := map[string]seamassign.Claim{"t1": claim(100, 199, 7), "t2": claim(150, 249, 8)}
		for _, name := range order {
			r.report(name, claims[name])
		}
		r.advance(seamassign.DefaultConfig().SettleDelay)
		if owner, _ := r.stored.Find(160); owner.Holder.Target != "t2" {
			t.Errorf("order %v: key 160 belongs to %v", order, owner)
		}
	}
}

// TestClaimsShowThatATableIsMissing guards against an assigner that never saw the era before, finds no table, and takes the service for a
// new one.
func TestClaimsShowThatATableIsMissing(t *testing.T) {
	s := &harness{t: t, stored: seamtable.Table{Service: "calendar"}}
	elected := seamtable.Assigner{Name: "a", Incarnation: 1, Epoch: seamtable.NextEpoch(0, 2, 0)}
	s.assigner = seamassign.New(seamassign.DefaultConfig(), s.clock(), elected, seamclock.Instant{}, s.stored, s.revision)
	r := &rebuilding{t, s}
	r.advance(0)
	r.report("t1", claim(100, 199, 7))
	const step = 100 * time.Millisecond
	for r.now < 5*time.Second {
		r.report("t1")
		r.report("t2")
		r.advance(step)
	}
	want := []seamtable.Range{{Span: seamtable.Span{From: 100, To: 199}, Holder: firstIncarnation("t1"), Fence: 7}}
	if diff := cmp.Diff(want, r.owned()); diff != "" {
		t.Error(diff)
	}
}
