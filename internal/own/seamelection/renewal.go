package seamelection

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
)

// checkEra returns *seamstore.EraChangedError if the store has come back from a copy since the given era: what this node
// read or wrote in it may be lost, and its lease too.
func (e *Elector) checkEra(era int64) error {
	if latest := e.store.Era(); latest != era {
		return &seamstore.EraChangedError{From: era, To: latest}
	}
	return nil
}

// supersededError reports that the store holds another leader record, or a table of a later epoch.
type supersededError struct {
	// By is that record. If a table was found, only its Epoch is set.
	By LeaderRecord
}

// Error implements error.
func (e *supersededError) Error() string {
	return fmt.Sprintf("node %s is the assigner in epoch %d", e.By.Peer, e.By.Epoch)
}

// endsLeadership reports whether an error means that this node leads no more: another node was elected, or the store
// came back from a copy, so that another one may have been elected in what it lost.
func endsLeadership(err error) bool {
	var superseded *supersededError
	var eraChanged *seamstore.EraChangedError
	return errors.As(err, &superseded) || errors.As(err, &eraChanged)
}

// renewLoop renews the leader record. It returns when another node is the leader, when the store has come back from a copy, or
// when the store has been unreachable for so long that another node may soon be elected.
func (e *Elector) renewLoop(ctx context.Context) {
	for {
		seamwait.For(ctx, renewInterval)
		if ctx.Err() != nil {
			return
		}
		err := e.renew(ctx)
		if err != nil {
			e.logFailure("renew", err)
		}
		if endsLeadership(err) || !e.authorized() {
			return
		}
	}
}

// authorized reports whether the assigner may still grant leases.
func (e *Elector) authorized() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.authorizedLocked()
}

func (e *Elector) authorizedLocked() bool {
	return e.assigner != nil && seamclock.MaxElapsed(e.clock.Now(), e.renewed) < e.cfg.MaxStoreOutage
}

// renew renews the store lease, or writes the record again if the lease has expired and no other node was elected.
func (e *Elector) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := e.clock.Now()
	e.mu.Lock()
	lease, era := e.lease, e.era
	e.mu.Unlock()
	err := e.store.RenewLease(ctx, lease)
	if changed := e.checkEra(era); changed != nil {
		return changed
	}
	var leaseErr *seamstore.LeaseNotFoundError
	if errors.As(err, &leaseErr) {
		return e.restore(ctx, era)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setRenewedLocked(sent)
	return nil
}

// restore writes the leader record again under a new store lease. Then it reads the table, since another node may have been
// elected and have lost the leadership meanwhile. If the table has no later epoch, the leadership counts as confirmed at
// the start of that read.
func (e *Elector) restore(ctx context.Context, era int64) error {
	lease, _, err := e.store.GrantLease(ctx, leaderLeaseTTL)
	if err != nil {
		return err
	}
	e.mu.Lock()
	epoch := e.assigner.Epoch()
	e.mu.Unlock()
	record := LeaderRecord{Epoch: epoch, Peer: e.self}
	value, err := proto.Marshal(record.ToWire())
	if err != nil {
		return err
	}
	_, err = e.store.SwapLeased(ctx, seamstore.Takeover, LeaderPrefix+e.service, 0, value, lease)
	var conflict *seamstore.ConflictError
	if errors.As(err, &conflict) {
		e.revokeLease(lease, era)
		return &supersededError{By: conflictRecord(conflict)}
	}
	if err != nil {
		return err
	}
	sent := e.clock.Now()
	table, err := e.readTable(ctx)
	if err != nil {
		return err
	}
	if err := e.checkEra(era); err != nil {
		return err
	}
	if table.Epoch > epoch {
		e.revokeLease(lease, era)
		return &supersededError{By: LeaderRecord{Epoch: table.Epoch}}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = lease
	e.setRenewedLocked(sent)
	e.sink.Emit(time.Now(), seamevent.LeaderElected, seamevent.Fields{"service": e.service, "epoch": epoch, "again": true})
	return nil
}

// conflictRecord returns the leader record that was found in the store in place of the expected one.
func conflictRecord(c *seamstore.ConflictError) LeaderRecord {
	r := LeaderRecord{}
	if decoded, err := decodeLeaderRecord(c.Found.Value); err == nil {
		r = decoded
	}
	r.Revision = c.Found.Revision
	return r
}
