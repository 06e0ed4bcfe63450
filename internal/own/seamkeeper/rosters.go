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
	// rosterLife is the age at which the roster of another cell is read again while it is used.
	rosterLife = time.Second
	// rosterStale is the age at which the roster of a cell that cannot be reached is no longer used.
	rosterStale = 5 * time.Second
	// rosterCells is the number of other cells whose targets are used for one service.
	rosterCells = 8
	// answerLimit is the largest answer about cells, in bytes.
	answerLimit = 8 << 20
)

// Candidate is a node whose target serves a service.
type Candidate struct {
	Peer   seampeer.Peer
	Labels map[string]string
	// Slots is the number of requests that the target runs at once.
	Slots    int
	InFlight int
	Draining bool
}

// roster is the members of another cell as last read.
type roster struct {
	read    time.Time
	asked   time.Time
	members map[string][]Candidate
}

// rosters caches the members of other cells. They are read only while they are used.
type rosters struct {
	keeper *Keeper
	mu     sync.Mutex
	cells  map[string]*roster
}

func newRosters(k *Keeper) *rosters {
	return &rosters{keeper: k, cells: map[string]*roster{}}
}

// Candidates returns the nodes whose targets serve the service: those of the
// own cell, and those of a bounded number of other cells, own region first.
func (k *Keeper) Candidates(service string) []Candidate {
	view := k.View()
	var found []Candidate
	for _, m := range view.Members {
		if m.Target.Service == service {
			found = append(found, k.candidate(m))
		}
	}
	for _, e := range k.otherCells(service, view.Cell) {
		found = append(found, k.rosters.members(time.Now(), e, service)...)
	}
	return found
}

func (k *Keeper) candidate(m seamcell.MemberView) Candidate {
	return Candidate{
		Peer:     m.Peer,
		Labels:   k.parts.Rules.Labels(m.Target.Service, m.Peer, m.Target.Labels),
		Slots:    m.Target.Concurrency,
		InFlight: m.InFlight,
		Draining: m.Draining || m.Target.Leaving,
	}
}

// otherCells returns the cells that offer the service, those of the own region first.
func (k *Keeper) otherCells(service, own string) []seamcell.Record {
	var near, far []seamcell.Record
	for _, e := range k.snapshot.Load().records {
		r := e.Record
		if e.Deleted || r.ID == "" || r.ID == own || !slices.Contains(r.Services, service) {
			continue
		}
		if r.Region == k.self.Region {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	near = append(near, far...)
	return near[:min(len(near), rosterCells)]
}

// members returns the cell's candidates as last read and has them read again
// in the background when they are old.
func (r *rosters) members(now time.Time, cell seamcell.Record, service string) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.cells[cell.ID]
	if x == nil {
		x = &roster{}
		r.cells[cell.ID] = x
	}
	if now.Sub(x.read) > rosterLife && now.Sub(x.asked) > rosterLife/4 {
		x.asked = now
		r.keeper.background(func() { r.refresh(cell) })
	}
	if now.Sub(x.read) > rosterStale {
		return nil
	}
	return x.members[service]
}

func (r *rosters) refresh(cell seamcell.Record) {
	ctx, cancel := context.WithTimeout(r.keeper.ctx, r.keeper.cfg.CallTimeout)
	defer cancel()
	answer := &seamrosterwire.RosterAnswer{}
	ask := &seamrosterwire.Ask{Roster: &seamrosterwire.RosterAsk{}}
	err := r.keeper.ask(ctx, cell.Coordinator, ask, answer)
	if err != nil && !cell.Backup.Zero() {
		err = r.keeper.ask(ctx, cell.Backup, ask, answer)
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
	r.cells[cell.ID] = &roster{read: time.Now(), members: members}
}

func (k *Keeper) candidateOf(m *seamrosterwire.Member) Candidate {
	peer := peerOf(m)
	return Candidate{
		Peer:     peer,
		Labels:   k.parts.Rules.Labels(m.GetService(), peer, m.GetLabels()),
		Slots:    int(m.GetSlots()),
		InFlight: int(m.GetInflight()),
		Draining: m.GetDraining(),
	}
}

// ask sends one question to a node and reads the answer.
func (k *Keeper) ask(ctx context.Context, to seampeer.Peer, question, answer proto.Message) error {
	conn, err := k.parts.Streams.OpenCells(ctx, to)
	if err != nil {
		return errors.Wrapf(err, "ask %s", to)
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if _, err := protodelim.MarshalTo(conn, question); err != nil {
		return errors.Wrapf(err, "ask %s", to)
	}
	if err := readMessage(conn, answer); err != nil {
		return errors.Wrapf(err, "answer of %s", to)
	}
	return nil
}

func readMessage(conn net.Conn, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: answerLimit}.UnmarshalFrom(bufio.NewReader(conn), m)
}

// ServeStream answers a question about cells.
func (k *Keeper) ServeStream(ctx context.Context, _ seampeer.Peer, conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(k.cfg.CallTimeout))
	question := &seamrosterwire.Ask{}
	if err := readMessage(conn, question); err != nil || ctx.Err() != nil {
		k.parts.Metrics.GetOrCreateCounter(`cardamomseam_roster_malformed_total`).Inc()
		return
	}
	if _, err := protodelim.MarshalTo(conn, k.answer(question)); err != nil {
		k.parts.Metrics.GetOrCreateCounter(`cardamomseam_roster_unsent_total`).Inc()
	}
}

func (k *Keeper) answer(question *seamrosterwire.Ask) proto.Message {
	if d := question.GetDirectory(); d != nil {
		return k.directoryAnswer(d.GetSince())
	}
	if d := question.GetDrain(); d != nil {
		return k.drainAnswer(d)
	}
	if c := question.GetCell(); c != nil {
		return k.cellAnswer(c.GetOnly())
	}
	return k.rosterAnswer()
}

func (k *Keeper) drainAnswer(d *seamrosterwire.DrainAsk) *seamrosterwire.DrainAnswer {
	taken := d.GetIncarnation() == k.self.Incarnation
	if taken {
		k.parts.DrainHandler.HandleDrainRequest()
	}
	return &seamrosterwire.DrainAnswer{Taken: taken}
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
			k.invariant("unwritable record", err)
			continue
		}
		answer.Entries = append(answer.Entries, &seamrosterwire.Entry{Key: e.Key, Revision: e.Revision, Deleted: e.Deleted, Value: value})
	}
	return answer
}

// fetchDirectory asks a node for the records that are later than revision since.
func (k *Keeper) fetchDirectory(ctx context.Context, from seampeer.Peer, since int64) error {
	question := &seamrosterwire.Ask{Directory: &seamrosterwire.DirectoryAsk{Since: since}}
	answer := &seamrosterwire.DirectoryAnswer{}
	if err := k.ask(ctx, from, question, answer); err != nil {
		return err
	}
	entries := make([]seamcell.Entry, 0, len(answer.GetEntries()))
	for _, e := range answer.GetEntries() {
		entry, err := seamcell.DecodeEntry(e.GetKey(), e.GetRevision(), e.GetValue())
		if err != nil {
			return err
		}
		entry.Deleted = e.GetDeleted()
		entries = append(entries, entry)
	}
	k.takeRecords(entries)
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
