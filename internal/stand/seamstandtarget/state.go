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

// State is the request body of POST seamtarget.StatePath: bookings of one slot.
type State struct {
	Slot  uint32 `json:"slot"`
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
	// replicateTimeout limits the replication of a booking to the standby.
	replicateTimeout = 150 * time.Millisecond
	// transferTimeout limits the transfer of all bookings of a slot.
	transferTimeout = 2 * time.Second
	// syncRetryInterval is the time between attempts to synchronize a standby.
	syncRetryInterval = 200 * time.Millisecond
)

// replicator replicates the bookings of the held slots to their standbys.
type replicator struct {
	ctx          context.Context
	bookings     *bookings
	executionLog *executionLog
	// changed is called when the set of synced slots changes.
	changed func()
	client  *http.Client

	mu          sync.Mutex
	standbys    map[uint32]standbyTarget
	syncedSlots map[uint32]bool
	// locks serialize the replication of each slot.
	locks map[uint32]*sync.Mutex
}

func newReplicator(ctx context.Context, b *bookings, l *executionLog, changed func()) *replicator {
	return &replicator{
		ctx:          ctx,
		bookings:     b,
		executionLog: l,
		changed:      changed,
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		standbys:     map[uint32]standbyTarget{},
		syncedSlots:  map[uint32]bool{},
		locks:        map[uint32]*sync.Mutex{},
	}
}

// setStandbys replaces the standbys of the slots and starts to synchronize the new ones.
func (c *replicator) setStandbys(standbys map[uint32]standbyTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for slot := range c.standbys {
		if _, ok := standbys[slot]; !ok {
			delete(c.standbys, slot)
			delete(c.syncedSlots, slot)
		}
	}
	for slot, o := range standbys {
		old := c.standbys[slot]
		c.standbys[slot] = o
		if old == o {
			continue
		}
		if old.address != o.address {
			delete(c.syncedSlots, slot)
		}
		if !c.syncedSlots[slot] {
			go c.sync(slot, o)
		}
	}
}

// sync tries to copy a slot to its standby until that succeeds or the standby changes.
func (c *replicator) sync(slot uint32, o standbyTarget) {
	for c.needsSync(slot, o) {
		if c.syncOnce(slot, o) {
			c.changed()
			return
		}
		select {
		case <-time.After(syncRetryInterval):
		case <-c.ctx.Done():
			return
		}
	}
}

// syncOnce copies the bookings of a slot without blocking its requests. It then copies the few
// bookings added meanwhile, while the slot's requests wait.
func (c *replicator) syncOnce(slot uint32, o standbyTarget) bool {
	first := c.bookings.bySlot(slot)
	if c.sendWithTimeout(transferTimeout, o, State{Slot: slot, Epoch: o.epoch, Complete: true, Bookings: first}) != nil {
		return false
	}
	l := c.slotLock(slot)
	l.Lock()
	defer l.Unlock()
	rest := missing(c.bookings.bySlot(slot), first)
	if len(rest) > 0 && c.sendWithTimeout(replicateTimeout, o, State{Slot: slot, Epoch: o.epoch, Bookings: rest}) != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.standbys[slot] != o {
		return false
	}
	c.syncedSlots[slot] = true
	c.executionLog.add(ExecutionRecord{Kind: KindSynced, Slot: slot, Epoch: o.epoch, Standby: o.address, Count: len(first) + len(rest)})
	return true
}

// missing returns the bookings in list that are not in known.
func missing(list, known []Booking) []Booking {
	seen := make(map[Booking]bool, len(known))
	for _, x := range known {
		seen[x] = true
	}
	var rest []Booking
	for _, x := range list {
		if !seen[x] {
			rest = append(rest, x)
		}
	}
	return rest
}

func (c *replicator) sendWithTimeout(timeout time.Duration, o standbyTarget, s State) error {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	return c.send(ctx, o.address, s)
}

func (c *replicator) needsSync(slot uint32, o standbyTarget) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.standbys[slot] == o && !c.syncedSlots[slot]
}

func (c *replicator) slotLock(slot uint32) *sync.Mutex {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.locks[slot]
	if l == nil {
		l = &sync.Mutex{}
		c.locks[slot] = l
	}
	return l
}

// store replicates a booking to the slot's standby, if that is up to date, and then stores it
// locally. A *FencedError means that the standby knows a later owner; the booking is then not
// stored. If the standby is unreachable, store returns only after the standby is no longer
// announced as synced.
func (c *replicator) store(slot uint32, x Booking) (duplicate bool, err error) {
	l := c.slotLock(slot)
	l.Lock()
	defer l.Unlock()
	c.mu.Lock()
	o, ready := c.standbys[slot], c.syncedSlots[slot]
	c.mu.Unlock()
	if ready {
		err := c.sendWithTimeout(replicateTimeout, o, State{Slot: slot, Epoch: o.epoch, Bookings: []Booking{x}})
		var fenced *FencedError
		if errors.As(err, &fenced) {
			return false, err
		}
		if err != nil {
			c.markUnsynced(slot, o)
		}
	}
	return c.bookings.add(slot, x), nil
}

func (c *replicator) markUnsynced(slot uint32, o standbyTarget) {
	c.mu.Lock()
	delete(c.syncedSlots, slot)
	c.mu.Unlock()
	c.executionLog.add(ExecutionRecord{Kind: KindUnsynced, Slot: slot, Epoch: o.epoch, Standby: o.address})
	c.changed()
	go c.sync(slot, o)
}

// StatusError reports an unsuccessful response of another target.
type StatusError struct {
	Address string
	Status  int
}

// Error returns a message with the target's address and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target %s responded with status %d", e.Address, e.Status)
}

func (c *replicator) send(ctx context.Context, address string, s State) error {
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+seamtarget.StatePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.client.Do(r)
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

// announcedSyncs returns the slots whose standby is up to date, sorted by slot.
func (c *replicator) announcedSyncs() []seamtarget.SyncedSlot {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []seamtarget.SyncedSlot
	for slot := range c.syncedSlots {
		list = append(list, seamtarget.SyncedSlot{Slot: slot, Standby: c.standbys[slot].address})
	}
	slices.SortFunc(list, func(a, b seamtarget.SyncedSlot) int { return cmp.Compare(a.Slot, b.Slot) })
	return list
}
