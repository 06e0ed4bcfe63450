package seamrouter

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/route/seampoison"
)

const (
	// poisonShareInterval is the longest time between two rounds in which a node shares what it knows of poison requests.
	poisonShareInterval = 10 * time.Second
	// poisonRetryInterval is the time until a failed write of a record is repeated.
	poisonRetryInterval = 500 * time.Millisecond
	// poisonCallTimeout bounds a call to the store about a record.
	poisonCallTimeout = time.Second
	// poisonTrialTimeout bounds the call to the store that begins a trial, for which a request waits.
	poisonTrialTimeout = 250 * time.Millisecond
)

// sharePoison reports what this node has seen of poison requests in its entry, and keeps the records in the store up to date.
func (n *Node) sharePoison(ctx context.Context) {
	for wait := poisonShareInterval; ctx.Err() == nil; {
		seamwait.ForWake(ctx, wait, n.poison.Changed())
		n.poison.Expire(time.Now())
		n.forgetPoison()
		n.reportPoison()
		wait = poisonShareInterval
		if !n.writePoisonRecords(ctx) {
			wait = poisonRetryInterval
			seamwait.For(ctx, poisonRetryInterval)
		}
	}
}

// reportPoison puts this node's report into its entry.
func (n *Node) reportPoison() {
	report, err := n.poison.Report().Encode()
	if err != nil {
		n.poisonFailed("encode the report", "", err)
		return
	}
	n.registration.Update(func(m *seammembership.Member) { m.Poison = string(report) })
}

// writePoisonRecords writes the records of requests that this node quarantines, and deletes those of requests that were answered. It
// reports whether all calls succeeded.
func (n *Node) writePoisonRecords(ctx context.Context) bool {
	ok := true
	for _, r := range n.poison.Unrecorded() {
		ok = n.writePoisonRecord(ctx, r, 0, poisonCallTimeout) == nil && ok
	}
	for _, r := range n.poison.Ended() {
		ok = n.removePoisonRecord(ctx, r) == nil && ok
	}
	return ok
}

// writePoisonRecord writes a record to the store if the one there has the expected revision. If it has another one, it applies what
// it found and returns the *seamstore.ConflictError.
func (n *Node) writePoisonRecord(ctx context.Context, r seampoison.Record, expected int64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	value, err := r.Encode()
	if err != nil {
		return err
	}
	key := seampoison.StoreKey(r.Key)
	r.Revision, err = n.store.Swap(ctx, seamstore.Takeover, key, expected, value)
	var conflict *seamstore.ConflictError
	switch {
	case err == nil:
		n.applyPoisonRecord(time.Now(), r, "this node")
	case errors.As(err, &conflict):
		if conflict.Found.Revision > 0 {
			n.putPoisonRecord(time.Now(), conflict.Found)
		}
	default:
		n.poisonFailed("write", key, err)
	}
	return err
}

// removePoisonRecord deletes a record from the store unless another node has changed it.
func (n *Node) removePoisonRecord(ctx context.Context, r seampoison.Record) error {
	ctx, cancel := context.WithTimeout(ctx, poisonCallTimeout)
	defer cancel()
	key := seampoison.StoreKey(r.Key)
	err := n.store.Delete(ctx, seamstore.Takeover, key, r.Revision)
	var conflict *seamstore.ConflictError
	switch {
	case err == nil || errors.As(err, &conflict) && conflict.Found.Revision == 0:
		n.deletePoisonRecord(time.Now(), key)
		return nil
	case errors.As(err, &conflict):
		n.putPoisonRecord(time.Now(), conflict.Found)
	default:
		n.poisonFailed("delete", key, err)
	}
	return err
}

// beginPoisonTrial writes the record of a trial.
func (n *Node) beginPoisonTrial(ctx context.Context, r seampoison.Record, expected int64) error {
	if err := n.writePoisonRecord(ctx, r, expected, poisonTrialTimeout); err != nil {
		return err
	}
	n.sink.Emit(time.Now(), seamevent.PoisonTrial, poisonFields(r))
	return nil
}

// putPoisonRecord applies a record that was written in the store.
func (n *Node) putPoisonRecord(now time.Time, e seamstore.Entry) {
	r, err := seampoison.DecodeRecord(e.Key, e.Value, e.Revision)
	if err != nil {
		n.poisonFailed("decode", e.Key, err)
		return
	}
	n.applyPoisonRecord(now, r, "the store")
}

func (n *Node) applyPoisonRecord(now time.Time, r seampoison.Record, from string) {
	if !n.poison.PutRecord(now, r) {
		return
	}
	fields := poisonFields(r)
	fields["from"] = from
	n.sink.Emit(now, seamevent.PoisonQuarantined, fields)
}

// deletePoisonRecord applies the deletion of a record in the store.
func (n *Node) deletePoisonRecord(now time.Time, key string) {
	if r, ok := n.poison.DeleteRecord(now, key); ok {
		n.sink.Emit(now, seamevent.PoisonCleared, poisonFields(r))
	}
}

func poisonFields(r seampoison.Record) seamevent.Fields {
	return seamevent.Fields{
		"fingerprint": r.Key.Fingerprint.String(), "service": r.Key.Service, "path": r.Path, "caller": r.Caller,
		"crashes": r.Crashes, "trials": r.Trials, "revision": r.Revision,
	}
}

func (n *Node) poisonFailed(call, key string, err error) {
	n.sink.Emit(time.Now(), seamevent.PoisonFailed, seamevent.Fields{"call": call, "key": key, "error": err.Error()})
}

// hearPoison takes over what another node has reported in its entry.
func (n *Node) hearPoison(name string) {
	m, ok := n.members.Member(name)
	if !ok || name == n.self.Name {
		return
	}
	if err := n.poison.Hear(name, m.Poison); err != nil {
		n.poisonFailed("decode the report", name, err)
	}
}

// forgetPoison forgets the reports of nodes that are gone.
func (n *Node) forgetPoison() {
	n.poison.Retain(func(name string) bool {
		_, ok := n.members.Member(name)
		return ok
	})
}

// ClearPoison ends the quarantine of the request with the key, as an operator asks for. It reports false if there is none.
func (n *Node) ClearPoison(ctx context.Context, key string) (found bool, err error) {
	for _, r := range n.poison.Records() {
		if r.Key.String() == key {
			return true, n.removePoisonRecord(ctx, r)
		}
	}
	return false, nil
}

// poisonRequests returns the quarantined requests in the order of their keys.
func (n *Node) poisonRequests() []PoisonRequest {
	requests := []PoisonRequest{}
	for _, r := range n.poison.Records() {
		requests = append(requests, PoisonRequest{Key: r.Key.String(), Path: r.Path, Caller: r.Caller, Crashes: r.Crashes, Trials: r.Trials})
	}
	slices.SortFunc(requests, func(x, y PoisonRequest) int { return strings.Compare(x.Key, y.Key) })
	return requests
}
