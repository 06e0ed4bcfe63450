package seamtable

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"cardamomseam/internal/member/seampeer"
	wire "cardamomseam/internal/own/seamtablewire"
)

// Encode encodes a table for the store.
func Encode(t Table) ([]byte, error) {
	ranges := RangesToWire(t.Ranges)
	nodes := t.nodesToWire(ranges)
	return proto.Marshal(&wire.Table{
		Service:   t.Service,
		Epoch:     t.Epoch,
		Era:       t.Era,
		Fence:     t.Fence,
		Ranges:    ranges,
		Nodes:     nodes,
		Assigners: assignersToWire(t.Assigners),
	})
}

// Decode decodes a table from the store. The error is *OverlapError if its ranges are not valid.
func Decode(value []byte) (Table, error) {
	w := new(wire.Table)
	if err := proto.Unmarshal(value, w); err != nil {
		return Table{}, errors.Wrap(err, "decode ownership table")
	}
	t := Table{
		Service: w.GetService(),
		Epoch:   w.GetEpoch(),
		Era:     w.GetEra(),
		Fence:   w.GetFence(),
		Ranges:  RangesFromWire(w.GetRanges()),
		Nodes:   map[Holder]seampeer.Peer{},
	}
	for _, a := range w.GetAssigners() {
		t.Assigners = append(t.Assigners, AssignerFromWire(a))
	}
	for i, r := range w.GetRanges() {
		if n := int(r.GetNode()); n >= 1 && n <= len(w.GetNodes()) {
			t.Nodes[t.Ranges[i].Holder] = NodeFromWire(w.GetNodes()[n-1])
		}
	}
	return t, t.Validate()
}

func assignersToWire(assigners []Assigner) []*wire.Assigner {
	var list []*wire.Assigner
	for _, a := range assigners {
		list = append(list, a.ToWire())
	}
	return list
}

// nodesToWire returns the nodes of the table, and sets in each range the one-based index of its holder's node, 0 if not
// known.
func (t Table) nodesToWire(ranges []*wire.Range) []*wire.Node {
	var nodes []*wire.Node
	index := map[Holder]uint32{}
	for i, r := range t.Ranges {
		node, ok := t.Nodes[r.Holder]
		if !ok {
			continue
		}
		if index[r.Holder] == 0 {
			nodes = append(nodes, NodeToWire(node))
			index[r.Holder] = uint32(len(nodes))
		}
		ranges[i].Node = index[r.Holder]
	}
	return nodes
}

// NodeToWire converts a node to its wire message.
func NodeToWire(p seampeer.Peer) *wire.Node {
	return &wire.Node{Name: p.Name, Incarnation: p.Incarnation, Address: p.Address, Region: p.Region, Domain: p.Domain}
}

// NodeFromWire converts a node from its wire message, which may be nil.
func NodeFromWire(w *wire.Node) seampeer.Peer {
	return seampeer.Peer{
		Name:        w.GetName(),
		Incarnation: w.GetIncarnation(),
		Address:     w.GetAddress(),
		Region:      w.GetRegion(),
		Domain:      w.GetDomain(),
	}
}

// RangesToWire converts ranges to their wire messages.
func RangesToWire(ranges []Range) []*wire.Range {
	out := make([]*wire.Range, 0, len(ranges))
	for _, r := range ranges {
		out = append(out, &wire.Range{From: r.From, To: r.To, Holder: HolderToWire(r.Holder), Fence: r.Fence, Handover: r.Handover})
	}
	return out
}

// RangesFromWire converts ranges from their wire messages.
func RangesFromWire(in []*wire.Range) []Range {
	out := make([]Range, 0, len(in))
	for _, r := range in {
		out = append(out, Range{
			Span:     Span{From: r.GetFrom(), To: r.GetTo()},
			Holder:   HolderFromWire(r.GetHolder()),
			Fence:    r.GetFence(),
			Handover: r.GetHandover(),
		})
	}
	return out
}

// HolderToWire converts a holder to its wire message.
func HolderToWire(h Holder) *wire.Holder {
	return &wire.Holder{Target: h.Target, Born: h.Born, Address: h.Address}
}

// HolderFromWire converts a holder from its wire message, which may be nil.
func HolderFromWire(w *wire.Holder) Holder {
	return Holder{Target: w.GetTarget(), Born: w.GetBorn(), Address: w.GetAddress()}
}

// LoadToWire converts a load to its wire message.
func LoadToWire(l Load) *wire.Load {
	w := &wire.Load{Busy: float32(l.Concurrency), Slots: int32(l.MaxConcurrency), Service: float32(l.ServiceTime), Rate: float32(l.Rate), Limit: float32(l.MaxRate)}
	for _, c := range l.Chunks {
		w.Chunks = append(w.Chunks, &wire.Chunk{From: c.From, To: c.To, Rate: float32(c.Rate)})
	}
	return w
}

// LoadFromWire converts a load from its wire message, which may be nil.
func LoadFromWire(w *wire.Load) Load {
	l := Load{Concurrency: float64(w.GetBusy()), MaxConcurrency: int(w.GetSlots()), ServiceTime: float64(w.GetService()), Rate: float64(w.GetRate()), MaxRate: float64(w.GetLimit())}
	for _, c := range w.GetChunks() {
		l.Chunks = append(l.Chunks, Chunk{Span: Span{From: c.GetFrom(), To: c.GetTo()}, Rate: float64(c.GetRate())})
	}
	return l
}

// ToWire converts the assigner to its wire message.
func (a Assigner) ToWire() *wire.Assigner {
	return &wire.Assigner{Name: a.Name, Incarnation: a.Incarnation, Epoch: a.Epoch}
}

// AssignerFromWire converts an assigner from its wire message, which may be nil.
func AssignerFromWire(w *wire.Assigner) Assigner {
	return Assigner{Name: w.GetName(), Incarnation: w.GetIncarnation(), Epoch: w.GetEpoch()}
}
