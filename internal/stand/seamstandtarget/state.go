package seamstandtarget

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seamtarget"
)

// State is the body of a POST to seamtarget.StatePath, by which a target sends bookings of one slot to
// another target.
type State struct {
	Slot uint32 `json:"slot"`
	// Epoch is the epoch of the slot's owner.
	Epoch uint64 `json:"epoch"`
	// Complete reports whether Bookings holds all bookings of the slot.
	Complete bool      `json:"whole,omitempty"`
	Bookings []Booking `json:"bookings"`
}

// standbyTarget is the address of a slot's standby and the epoch of the slot's owner.
type standbyTarget struct {
	address string
	epoch   uint64
}

const (
	// replicateTimeout is the maximum time to replicate a booking to the standby.
	replicateTimeout = 150 * time.Millisecond
	// transferTimeout is the maximum time to transfer all bookings of a slot.
	transferTimeout = 2 * time.Second
	// syncRetryInterval is the time between attempts to synchronize a standby.
	syncRetryInterval = 200 * time.Millisecond
)

// replicator replicates the bookings of the slots that the target owns to their standbys.
type replicator struct {
	ctx          context.Context
	bookings     *bookings
	executionLog *executionLog
	// onSyncedChange is called after syncedSlots has changed, except by setStandbys.
	onSyncedChange func()
	client         *http.Client

	mu       sync.Mutex
	standbys map[uint32]standbyTarget
	// syncedSlots are the slots whose standby has all bookings.
	syncedSlots map[uint32]bool
	// locks serialize the storing and replication of bookings in each slot.
	locks map[uint32]*sync.Mutex
}

func newReplicator(ctx context.Context, b *bookings, l *executionLog, onSyncedChange func()) *replicator {
	return &replicator{
		ctx:            ctx,
		bookings:       b,
		executionLog:   l,
		onSyncedChange: onSyncedChange,
		client:         &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		standbys:       map[uint32]standbyTarget{},
		syncedSlots:    map[uint32]bool{},
		locks:          map[uint32]*sync.Mutex{},
	}
}

// setStandbys replaces the standbys of the slots and starts to synchronize those that are new.
func (r *replicator) setStandbys(standbys map[uint32]standbyTarget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for slot := range r.standbys {
		if _, ok := standbys[slot]; !ok {
			delete(r.standbys, slot)
			delete(r.syncedSlots, slot)
		}
	}
	for slot, standby := range standbys {
		previous := r.standbys[slot]
		r.standbys[slot] = standby
		if previous == standby {
			continue
		}
		if previous.address != standby.address {
			delete(r.syncedSlots, slot)
		}
		if !r.syncedSlots[slot] {
			go r.sync(slot, standby)
		}
	}
}

// sync tries to copy a slot to its standby until that succeeds, the standby changes or the target stops.
func (r *replicator) sync(slot uint32, standby standbyTarget) {
	for r.needsSync(slot, standby) {
		if r.syncOnce(slot, standby) {
			r.onSyncedChange()
			return
		}
		select {
		case <-time.After(syncRetryInterval):
		case <-r.ctx.Done():
			return
		}
	}
}

// syncOnce copies the bookings of a slot to the standby and reports whether the standby is then synced.
// It copies most of them without blocking the slot's requests. Only while it copies the few bookings
// added meanwhile do the requests wait.
func (r *replicator) syncOnce(slot uint32, standby standbyTarget) bool {
	initial := r.bookings.bySlot(slot)
	if r.sendWithTimeout(transferTimeout, standby, State{Slot: slot, Epoch: standby.epoch, Complete: true, Bookings: initial}) != nil {
		return false
	}
	l := r.slotLock(slot)
	l.Lock()
	defer l.Unlock()
	rest := missingBookings(r.bookings.bySlot(slot), initial)
	if len(rest) > 0 && r.sendWithTimeout(replicateTimeout, standby, State{Slot: slot, Epoch: standby.epoch, Bookings: rest}) != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.standbys[slot] != standby {
		return false
	}
	r.syncedSlots[slot] = true
	r.executionLog.add(ExecutionRecord{Kind: KindSynced, Slot: slot, Epoch: standby.epoch, Standby: standby.address, Count: len(initial) + len(rest)})
	return true
}

// missingBookings returns the bookings in list that are not in known.
func missingBookings(list, known []Booking) []Booking {
	knownSet := make(map[Booking]bool, len(known))
	for _, x := range known {
		knownSet[x] = true
	}
	var rest []Booking
	for _, x := range list {
		if !knownSet[x] {
			rest = append(rest, x)
		}
	}
	return rest
}

func (r *replicator) sendWithTimeout(timeout time.Duration, standby standbyTarget, s State) error {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	return r.send(ctx, standby.address, s)
}

func (r *replicator) needsSync(slot uint32, standby standbyTarget) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.standbys[slot] == standby && !r.syncedSlots[slot]
}

func (r *replicator) slotLock(slot uint32) *sync.Mutex {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.locks[slot]
	if l == nil {
		l = &sync.Mutex{}
		r.locks[slot] = l
	}
	return l
}

// storeBooking replicates a booking to the slot's standby, if that is synced, and then stores it
// locally. A *FencedError means that the standby knows a later owner; the booking is then not
// stored. After any other error it marks the standby as not synced, and tries to
// announce that before it returns.
func (r *replicator) storeBooking(slot uint32, booking Booking) (duplicate bool, err error) {
	l := r.slotLock(slot)
	l.Lock()
	defer l.Unlock()
	r.mu.Lock()
	standby, synced := r.standbys[slot], r.syncedSlots[slot]
	r.mu.Unlock()
	if synced {
		err := r.sendWithTimeout(replicateTimeout, standby, State{Slot: slot, Epoch: standby.epoch, Bookings: []Booking{booking}})
		var fenced *FencedError
		if errors.As(err, &fenced) {
			return false, err
		}
		if err != nil {
			r.markUnsynced(slot, standby)
		}
	}
	return r.bookings.add(slot, booking), nil
}

func (r *replicator) markUnsynced(slot uint32, standby standbyTarget) {
	r.mu.Lock()
	delete(r.syncedSlots, slot)
	r.mu.Unlock()
	r.executionLog.add(ExecutionRecord{Kind: KindUnsynced, Slot: slot, Epoch: standby.epoch, Standby: standby.address})
	r.onSyncedChange()
	go r.sync(slot, standby)
}

// StatusError reports an unsuccessful response of another target.
type StatusError struct {
	Address string
	Status  int
}

// Error names the target's address and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target %s responded with status %d", e.Address, e.Status)
}

func (r *replicator) send(ctx context.Context, address string, s State) error {
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+seamtarget.StatePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return &FencedError{Slot: s.Slot, Epoch: s.Epoch, Reason: reasonEpoch}
	}
	return &StatusError{Address: address, Status: response.StatusCode}
}

// syncedSlotList returns the slots whose standby is synced, for the announcement, sorted by slot.
func (r *replicator) syncedSlotList() []seamtarget.SyncedSlot {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []seamtarget.SyncedSlot
	for slot := range r.syncedSlots {
		list = append(list, seamtarget.SyncedSlot{Slot: slot, Standby: r.standbys[slot].address})
	}
	slices.SortFunc(list, func(a, b seamtarget.SyncedSlot) int { return cmp.Compare(a.Slot, b.Slot) })
	return list
}
