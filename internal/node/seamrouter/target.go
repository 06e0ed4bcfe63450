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
	announcementTTL = 24 * time.Hour
	// defaultConnections is the number of connections to a target of which no bound is known.
	defaultMaxConnections = 64
)

// beside takes what the target beside the node says of itself.
type targetAnnouncements struct {
	node *Node
}

// Announce takes an announcement. The number of connections stands in the routes.
func (t targetAnnouncements) Announce(now time.Time, a seamtarget.Announcement) error {
	a.Connections = t.node.maxConnections(a.Service)
	return t.node.targets.Announce(now, a)
}

// Depart takes the target's last word.
func (t targetAnnouncements) Depart(now time.Time, id string) { t.node.targets.Depart(now, id) }

func (n *Node) maxConnections(service string) int {
	if t := n.routes.Current(); t != nil {
		if s, ok := t.Service(service); ok && s.Connections > 0 {
			return s.Connections
		}
	}
	return defaultMaxConnections
}

func (n *Node) announcementRefused(id string, err error) {
	n.sink.Emit(time.Now(), seamevent.BeatRefused, seamevent.Fields{"target": id, "error": err.Error()})
}

// besideWatcher tells the node of changes of its target.
type targetWatcher struct {
	node *Node
}

// TargetChanged is called with each announcement, and with present false when the target is gone.
func (w targetWatcher) TargetChanged(seamtarget.Announcement, bool) { w.node.targetChanged() }

var _ seamannounce.Watcher = targetWatcher{}

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
	n.registration.Update(func(m *seammembership.Member) { m.Target = target })
	incarnation := seamholder.Incarnation{}
	if n.isKeyed(target.Service) {
		incarnation = seamholder.Incarnation{Service: a.Service, Address: a.Address, Holder: target.Holder(), Slots: a.Slots}
	}
	n.runner.SetIncarnation(incarnation)
	if a.Leaving {
		n.runner.TargetStopping()
	}
}

func (n *Node) isKeyed(service string) bool {
	t := n.routes.Current()
	if t == nil {
		return false
	}
	s, ok := t.Service(service)
	return ok && s.Keyed
}

// origin returns the service of this instance.
func (n *Node) originService() string {
	if a, ok := n.targets.Current(); ok {
		return a.Service
	}
	return n.settings.Service
}
