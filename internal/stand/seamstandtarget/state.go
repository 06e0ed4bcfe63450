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

// State is the body of POST seamtarget.StatePath: bookings of one slot.
type State struct {
	Slot  uint32 `json:"slot"`
	Epoch uint64 `json:"epoch"`
	// Whole says that these are all bookings of the slot.
	Complete bool      `json:"whole,omitempty"`
	Bookings []Booking `json:"bookings"`
}

// standbyOrder names the standby of a slot and the epoch of the owner.
type standbyOrder struct {
	address string
	epoch   uint64
}

const (
	// copyTimeout bounds the copy of one booking to the standby.
	copyTimeout = 150 * time.Millisecond
	// stateTimeout bounds the copy of a whole slot.
	stateTimeout = 2 * time.Second
	// syncPause is the time between attempts to bring a standby up to date.
	syncPause = 200 * time.Millisecond
)

// copier keeps the standbys of the held slots up to date.
type copier struct {
	ctx      context.Context
	bookings *bookings
	ledger   *ledger
	// changed is called when the set of synced slots changes.
	changed func()
	client  *http.Client

	mu       sync.Mutex
	standbys map[uint32]standbyOrder
	ready    map[uint32]bool
	// locks order the copies of one slot.
	locks map[uint32]*sync.Mutex
}

func newCopier(ctx context.Context, b *bookings, l *ledger, changed func()) *copier {
	return &copier{
		ctx:      ctx,
		bookings: b,
		ledger:   l,
		changed:  changed,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		standbys: map[uint32]standbyOrder{},
		ready:    map[uint32]bool{},
		locks:    map[uint32]*sync.Mutex{},
	}
}

// follow takes the standbys of new orders and starts to copy to the new ones.
func (c *copier) follow(orders map[uint32]standbyOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for slot := range c.standbys {
		if _, ok := orders[slot]; !ok {
			delete(c.standbys, slot)
			delete(c.ready, slot)
		}
	}
	for slot, o := range orders {
		old := c.standbys[slot]
		c.standbys[slot] = o
		if old == o {
			continue
		}
		if old.address != o.address {
			delete(c.ready, slot)
		}
		if !c.ready[slot] {
			go c.sync(slot, o)
		}
	}
}

// sync copies a slot to its standby until that succeeds or the standby changes.
func (c *copier) sync(slot uint32, o standbyOrder) {
	for c.current(slot, o) {
		if c.syncOnce(slot, o) {
			c.changed()
			return
		}
		select {
		case <-time.After(syncPause):
		case <-c.ctx.Done():
			return
		}
	}
}

// syncOnce copies what the slot has, without holding up its requests, and then, while they
// wait, the few bookings that have come since.
func (c *copier) syncOnce(slot uint32, o standbyOrder) bool {
	first := c.bookings.slot(slot)
	if c.sendWithin(stateTimeout, o, State{Slot: slot, Epoch: o.epoch, Complete: true, Bookings: first}) != nil {
		return false
	}
	l := c.lock(slot)
	l.Lock()
	defer l.Unlock()
	rest := missing(c.bookings.slot(slot), first)
	if len(rest) > 0 && c.sendWithin(copyTimeout, o, State{Slot: slot, Epoch: o.epoch, Bookings: rest}) != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.standbys[slot] != o {
		return false
	}
	c.ready[slot] = true
	c.ledger.add(ExecutionRecord{Kind: KindSynced, Slot: slot, Epoch: o.epoch, Standby: o.address, Count: len(first) + len(rest)})
	return true
}

// missing returns the bookings of list that are not in known.
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

func (c *copier) sendWithin(limit time.Duration, o standbyOrder, s State) error {
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	return c.send(ctx, o.address, s)
}

func (c *copier) current(slot uint32, o standbyOrder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.standbys[slot] == o && !c.ready[slot]
}

func (c *copier) lock(slot uint32) *sync.Mutex {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.locks[slot]
	if l == nil {
		l = &sync.Mutex{}
		c.locks[slot] = l
	}
	return l
}

// store copies a booking to the slot's standby, if it is up to date, and then stores it here.
// A *FencedError means that the standby knows of a later owner and nothing was stored here.
// A standby that can't be reached is no longer announced as synced before store returns.
func (c *copier) store(slot uint32, x Booking) (doubled bool, err error) {
	l := c.lock(slot)
	l.Lock()
	defer l.Unlock()
	c.mu.Lock()
	o, ready := c.standbys[slot], c.ready[slot]
	c.mu.Unlock()
	if ready {
		err := c.sendWithin(copyTimeout, o, State{Slot: slot, Epoch: o.epoch, Bookings: []Booking{x}})
		var fenced *FencedError
		if errors.As(err, &fenced) {
			return false, err
		}
		if err != nil {
			c.lose(slot, o)
		}
	}
	return c.bookings.add(slot, x), nil
}

func (c *copier) lose(slot uint32, o standbyOrder) {
	c.mu.Lock()
	delete(c.ready, slot)
	c.mu.Unlock()
	c.ledger.add(ExecutionRecord{Kind: KindUnsynced, Slot: slot, Epoch: o.epoch, Standby: o.address})
	c.changed()
	go c.sync(slot, o)
}

// StatusError is an answer of another target that is not a success.
type StatusError struct {
	Address string
	Status  int
}

// Error names the target and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target %s answered %d", e.Address, e.Status)
}

func (c *copier) send(ctx context.Context, address string, s State) error {
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+seamtarget.StatePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	switch answer.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return &FencedError{Slot: s.Slot, Epoch: s.Epoch, Reason: reasonEpoch}
	}
	return &StatusError{Address: address, Status: answer.StatusCode}
}

// synced returns the slots whose standby is up to date, in order.
func (c *copier) synced() []seamtarget.SyncedSlot {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []seamtarget.SyncedSlot
	for slot := range c.ready {
		list = append(list, seamtarget.SyncedSlot{Slot: slot, Standby: c.standbys[slot].address})
	}
	slices.SortFunc(list, func(a, b seamtarget.SyncedSlot) int { return cmp.Compare(a.Slot, b.Slot) })
	return list
}
