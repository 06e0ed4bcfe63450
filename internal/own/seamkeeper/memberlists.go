package seamkeeper

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/member/seamrosterwire"
	"cardamomseam/internal/own/seamcell"
)

const (
	// memberListTTL is the age at which the member list of another cell is read again while it is in use.
	memberListTTL = time.Second
	// memberListMaxAge is the age at which the member list of an unreachable cell is no longer used.
	memberListMaxAge = 5 * time.Second
	// maxOtherCells is the maximum number of other cells whose targets are used for one service.
	maxOtherCells = 8
	// maxResponseBytes is the maximum size of a response about cells.
	maxResponseBytes = 8 << 20
)

// Candidate is a node whose target serves a service.
type Candidate struct {
	Peer   seampeer.Peer
	Labels map[string]string
	// Slots is the number of requests that the target runs concurrently.
	Slots    int
	InFlight int
	Draining bool
}

// memberList holds the members of another cell as last read.
type memberList struct {
	readAt    time.Time
	queriedAt time.Time
	members   map[string][]Candidate
}

// memberLists caches the members of other cells. A list is refreshed only while it is in use.
type memberLists struct {
	keeper *Keeper
	mu     sync.Mutex
	cells  map[string]*memberList
}

func newMemberLists(k *Keeper) *memberLists {
	return &memberLists{keeper: k, cells: map[string]*memberList{}}
}

// Candidates returns the nodes whose targets serve the service: those of this node's cell, and those of at most
// maxOtherCells other cells, with cells of this node's region first.
func (k *Keeper) Candidates(service string) []Candidate {
	view := k.View()
	var found []Candidate
	for _, m := range view.Members {
		if m.Target.Service == service {
			found = append(found, k.candidate(m))
		}
	}
	for _, e := range k.otherCells(service, view.Cell) {
		found = append(found, k.memberLists.members(time.Now(), e, service)...)
	}
	return found
}

func (k *Keeper) candidate(m seamcell.MemberView) Candidate {
	return Candidate{
		Peer:     m.Peer,
		Labels:   k.deps.Rules.Labels(m.Target.Service, m.Peer, m.Target.Labels),
		Slots:    m.Target.Concurrency,
		InFlight: m.InFlight,
		Draining: m.Draining || m.Target.Leaving,
	}
}

// otherCells returns up to maxOtherCells other cells that offer the service, those of this node's region first.
func (k *Keeper) otherCells(service, own string) []seamcell.Record {
	var sameRegion, otherRegions []seamcell.Record
	for _, e := range k.snapshot.Load().records {
		r := e.Record
		if e.Deleted || r.ID == "" || r.ID == own || !slices.Contains(r.Services, service) {
			continue
		}
		if r.Region == k.self.Region {
			sameRegion = append(sameRegion, r)
		} else {
			otherRegions = append(otherRegions, r)
		}
	}
	sameRegion = append(sameRegion, otherRegions...)
	return sameRegion[:min(len(sameRegion), maxOtherCells)]
}

// members returns the cached candidates of the cell, if they are recent enough, and refreshes old ones in the
// background.
func (r *memberLists) members(now time.Time, cell seamcell.Record, service string) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.cells[cell.ID]
	if x == nil {
		x = &memberList{}
		r.cells[cell.ID] = x
	}
	if now.Sub(x.readAt) > memberListTTL && now.Sub(x.queriedAt) > memberListTTL/4 {
		x.queriedAt = now
		r.keeper.startTask(func() { r.refresh(cell) })
	}
	if now.Sub(x.readAt) > memberListMaxAge {
		return nil
	}
	return x.members[service]
}

func (r *memberLists) refresh(cell seamcell.Record) {
	ctx, cancel := context.WithTimeout(r.keeper.ctx, r.keeper.cfg.CallTimeout)
	defer cancel()
	answer := &seamrosterwire.RosterAnswer{}
	ask := &seamrosterwire.Ask{Roster: &seamrosterwire.RosterAsk{}}
	err := r.keeper.query(ctx, cell.Coordinator, ask, answer)
	if err != nil && !cell.Backup.Zero() {
		err = r.keeper.query(ctx, cell.Backup, ask, answer)
	}
	if err != nil || answer.GetCell() != cell.ID {
		return
	}
	members := map[string][]Candidate{}
	for _, m := range answer.GetMembers() {
		members[m.GetService()] = append(members[m.GetService()], r.keeper.candidateOf(m))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cells[cell.ID] = &memberList{readAt: time.Now(), members: members}
}

func (k *Keeper) candidateOf(m *seamrosterwire.Member) Candidate {
	peer := peerOf(m)
	return Candidate{
		Peer:     peer,
		Labels:   k.deps.Rules.Labels(m.GetService(), peer, m.GetLabels()),
		Slots:    int(m.GetSlots()),
		InFlight: int(m.GetInflight()),
		Draining: m.GetDraining(),
	}
}

// query sends one request to a node and reads the response.
func (k *Keeper) query(ctx context.Context, to seampeer.Peer, request, response proto.Message) error {
	conn, err := k.deps.Streams.OpenCells(ctx, to)
	if err != nil {
		return errors.Wrapf(err, "query %s", to)
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if _, err := protodelim.MarshalTo(conn, request); err != nil {
		return errors.Wrapf(err, "query %s", to)
	}
	if err := readMessage(conn, response); err != nil {
		return errors.Wrapf(err, "response from %s", to)
	}
	return nil
}

func readMessage(conn net.Conn, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxResponseBytes}.UnmarshalFrom(bufio.NewReader(conn), m)
}

// ServeStream answers one query about cells.
func (k *Keeper) ServeStream(ctx context.Context, _ seampeer.Peer, conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(k.cfg.CallTimeout))
	request := &seamrosterwire.Ask{}
	if err := readMessage(conn, request); err != nil || ctx.Err() != nil {
		k.deps.Metrics.GetOrCreateCounter(`cardamomseam_roster_malformed_total`).Inc()
		return
	}
	if _, err := protodelim.MarshalTo(conn, k.handleQuery(request)); err != nil {
		k.deps.Metrics.GetOrCreateCounter(`cardamomseam_roster_unsent_total`).Inc()
	}
}

func (k *Keeper) handleQuery(request *seamrosterwire.Ask) proto.Message {
	if d := request.GetDirectory(); d != nil {
		return k.directoryAnswer(d.GetSince())
	}
	if d := request.GetDrain(); d != nil {
		return k.drainAnswer(d)
	}
	if c := request.GetCell(); c != nil {
		return k.cellAnswer(c.GetOnly())
	}
	return k.rosterAnswer()
}

func (k *Keeper) drainAnswer(d *seamrosterwire.DrainAsk) *seamrosterwire.DrainAnswer {
	accepted := d.GetIncarnation() == k.self.Incarnation
	if accepted {
		k.deps.DrainHandler.HandleDrainRequest()
	}
	return &seamrosterwire.DrainAnswer{Taken: accepted}
}

func (k *Keeper) rosterAnswer() *seamrosterwire.RosterAnswer {
	view := k.View()
	answer := &seamrosterwire.RosterAnswer{Cell: view.Cell}
	for _, m := range view.Members {
		if m.Target.Service == "" {
			continue
		}
		answer.Members = append(answer.Members, memberOf(m))
	}
	return answer
}

func memberOf(m seamcell.MemberView) *seamrosterwire.Member {
	return &seamrosterwire.Member{
		Name:        m.Peer.Name,
		Incarnation: m.Peer.Incarnation,
		Address:     m.Peer.Address,
		Region:      m.Peer.Region,
		Domain:      m.Peer.Domain,
		Service:     m.Target.Service,
		Labels:      m.Target.Labels,
		Slots:       int32(m.Target.Concurrency),
		Inflight:    int32(m.InFlight),
		Draining:    m.Draining || m.Target.Leaving,
	}
}

func peerOf(m *seamrosterwire.Member) seampeer.Peer {
	return seampeer.Peer{
		Name:        m.GetName(),
		Incarnation: m.GetIncarnation(),
		Address:     m.GetAddress(),
		Region:      m.GetRegion(),
		Domain:      m.GetDomain(),
	}
}

func (k *Keeper) directoryAnswer(since int64) *seamrosterwire.DirectoryAnswer {
	answer := &seamrosterwire.DirectoryAnswer{}
	for _, e := range k.snapshot.Load().records {
		if e.Revision <= since {
			continue
		}
		value, err := e.Record.Encode()
		if err != nil {
			k.reportInvariant("cell record cannot be encoded", err)
			continue
		}
		answer.Entries = append(answer.Entries, &seamrosterwire.Entry{Key: e.Key, Revision: e.Revision, Deleted: e.Deleted, Value: value})
	}
	return answer
}

// fetchDirectory requests the cell records that are newer than revision since from a node.
func (k *Keeper) fetchDirectory(ctx context.Context, from seampeer.Peer, since int64) error {
	request := &seamrosterwire.Ask{Directory: &seamrosterwire.DirectoryAsk{Since: since}}
	response := &seamrosterwire.DirectoryAnswer{}
	if err := k.query(ctx, from, request, response); err != nil {
		return err
	}
	entries := make([]seamcell.Entry, 0, len(response.GetEntries()))
	for _, e := range response.GetEntries() {
		entry, err := seamcell.DecodeEntry(e.GetKey(), e.GetRevision(), e.GetValue())
		if err != nil {
			return err
		}
		entry.Deleted = e.GetDeleted()
		entries = append(entries, entry)
	}
	k.updateRecords(entries)
	return nil
}

// seeds returns the configured addresses of other nodes.
func (k *Keeper) seeds() []seampeer.Peer {
	peers := make([]seampeer.Peer, 0, len(k.cfg.Seeds))
	for _, a := range k.cfg.Seeds {
		peers = append(peers, seampeer.Peer{Address: a})
	}
	return peers
}
