package seamelection

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamassign"
	"cardamomseam/internal/own/seamtable"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
)

// shouldCampaign reports whether this node should campaign now. If not, it first waits until the next check is due.
func (e *Elector) shouldCampaign(ctx context.Context) bool {
	changed := e.registry.Changed()
	if e.ownRecordRevision() != 0 {
		return true
	}
	now := time.Now()
	since, vacant := e.registry.VacantSince(e.service, now)
	if vacant {
		wait := since.Add(e.campaignDelay()).Sub(now)
		if wait <= 0 {
			return true
		}
		seamwait.For(ctx, wait)
		return false
	}
	seamwait.Until(ctx, pollInterval, changed)
	return false
}

// ownRecordRevision returns the revision of the leader record if it names this node, which does not lead; 0 if not. An
// earlier incarnation wrote it, or it stands in the copy from which the store came back.
func (e *Elector) ownRecordRevision() int64 {
	record, ok := e.registry.Leader(e.service)
	if !ok || record.Peer.Name != e.self.Name {
		return 0
	}
	era, _ := seamstore.SplitEra(record.Revision)
	ofCopy := record.Peer.Incarnation == e.self.Incarnation && seamtable.EpochEra(record.Epoch) < era
	if record.Peer.Incarnation < e.self.Incarnation || ofCopy {
		return record.Revision
	}
	return 0
}

// campaignDelay returns how long a vacancy must last before this node campaigns.
func (e *Elector) campaignDelay() time.Duration {
	rank, known := e.peers.Rank(e.service)
	switch {
	case !known:
		spread := time.Duration(xxhash.Sum64String(e.self.Name+"\x00"+e.service) % uint64(startupJitterMax))
		return spread + time.Duration(rank)*startupJitterMax
	case rank < ImmediateCandidates:
		return time.Duration(rank) * rankDelayStep
	default:
		return lateCandidateDelay + time.Duration(rank)*rankDelayStep
	}
}

// campaign writes this node's leader record and starts a new epoch.
func (e *Elector) campaign(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	// A lease of an earlier era than that of the epoch would not be renewed.
	era := e.store.Era()
	sent := e.clock.Now()
	lease, _, err := e.store.GrantLease(ctx, leaderLeaseTTL)
	if err != nil {
		return err
	}
	table, epoch, err := e.beginEpoch(ctx, lease, era)
	if err != nil {
		e.revokeLease(lease, era)
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease, e.era = lease, era
	e.assigner = seamassign.New(e.cfg, e.clock.Now(), e.identity(epoch), e.earlierLeaseEnd, table.Table, table.Revision)
	e.assigner.SetPlacement(e.placement())
	e.placed = placed{}
	e.setRenewedLocked(sent)
	e.sink.Emit(time.Now(), seamevent.LeaderElected, seamevent.Fields{
		"service": e.service, "epoch": epoch, "revision": table.Revision, "era": era, "written": table.Era, "former": table.Epoch,
		"fence": table.Fence, "ranges": len(table.Ranges),
	})
	return nil
}

// beginEpoch reads the table and writes this node's leader record, both in the given era of the store.
func (e *Elector) beginEpoch(ctx context.Context, lease seamstore.Lease, era int64) (table VersionedTable, epoch uint64, err error) {
	table, err = e.readTable(ctx)
	if err != nil {
		return table, 0, err
	}
	epoch = seamtable.NextEpoch(table.Epoch, era, rand.Uint64())
	record := LeaderRecord{Epoch: epoch, Peer: e.self}
	value, err := proto.Marshal(record.ToWire())
	if err != nil {
		return table, 0, err
	}
	if _, err := e.store.SwapLeased(ctx, seamstore.Takeover, LeaderPrefix+e.service, e.ownRecordRevision(), value, lease); err != nil {
		return table, 0, err
	}
	return table, epoch, e.checkEra(era)
}

func (e *Elector) readTable(ctx context.Context) (VersionedTable, error) {
	entry, err := e.store.Get(ctx, seamstore.Takeover, TablePrefix+e.service)
	if err != nil {
		return VersionedTable{}, err
	}
	if entry.Revision == 0 {
		return VersionedTable{Table: e.missingTable()}, nil
	}
	t, err := seamtable.Decode(entry.Value)
	return VersionedTable{Table: t, Revision: entry.Revision}, err
}

// missingTable returns the table of a service that has none in the store. If this node knows of an assigner, the store came
// back from a copy that is older than the first table.
func (e *Elector) missingTable() seamtable.Table {
	t := seamtable.Table{Service: e.service}
	if epoch, ok := e.registry.ConfirmedEpoch(e.service); ok {
		t.Epoch, t.Era = epoch, e.registry.firstEra(e.service)
	}
	return t
}
