package seamrouter

import (
	"time"

	"cardamomseam/internal/member/seamannounce"
	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamholder"
)

const (
	// announceLife is the time for which an announcement holds. Targets may live on while their
	// announcements do not arrive, so that only their connections tell their end.
	announceLife = 24 * time.Hour
	// defaultConnections is the number of connections to a target of which no bound is known.
	defaultConnections = 64
)

// beside takes what the target beside the node says of itself.
type beside struct {
	node *Node
}

// Announce takes an announcement. The number of connections stands in the routes.
func (b beside) Announce(now time.Time, a seamtarget.Announcement) error {
	a.Connections = b.node.connections(a.Service)
	return b.node.targets.Announce(now, a)
}

// Depart takes the target's last word.
func (b beside) Depart(now time.Time, id string) { b.node.targets.MarkLeaving(now, id) }

func (n *Node) connections(service string) int {
	if t := n.book.Current(); t != nil {
		if s, ok := t.Service(service); ok && s.MaxConnections > 0 {
			return s.MaxConnections
		}
	}
	return defaultConnections
}

func (n *Node) refuseBeat(id string, err error) {
	n.sink.Emit(time.Now(), seamevent.HeartbeatRefused, seamevent.Fields{"target": id, "error": err.Error()})
}

// besideWatcher tells the node of changes of its target.
type besideWatcher struct {
	node *Node
}

// TargetChanged is called with each announcement, and with present false when the target is gone.
func (w besideWatcher) TargetChanged(seamtarget.Announcement, bool) { w.node.targetChanged() }

var _ seamannounce.Watcher = besideWatcher{}

// targetChanged brings the entry and the holder of keys up to what the target says.
func (n *Node) targetChanged() {
	a, present := n.targets.Current()
	target := seammembership.Target{}
	if present {
		target = seammembership.Target{
			Service: a.Service,
			ID:      a.Name,
			Started: a.Started,
			Address: a.Address,
			Slots:   a.Slots,
			Leaving: a.Leaving,
		}
	}
	n.entry.Update(func(m *seammembership.Member) { m.Target = target })
	life := seamholder.Incarnation{}
	if n.keyed(target.Service) {
		life = seamholder.Incarnation{Service: a.Service, Address: a.Address, Holder: target.Holder(), Slots: a.Slots}
	}
	n.runner.SetIncarnation(life)
	if a.Leaving {
		n.runner.TargetStopping()
	}
}

func (n *Node) keyed(service string) bool {
	t := n.book.Current()
	if t == nil {
		return false
	}
	s, ok := t.Service(service)
	return ok && s.Keyed
}

// origin returns the service of this instance.
func (n *Node) origin() string {
	if a, ok := n.targets.Current(); ok {
		return a.Service
	}
	return n.settings.Service
}
