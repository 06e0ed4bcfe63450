package seamrouter

import (
	"time"

	"cardamomseam/internal/member/seamannounce"
	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamholder"
)

const (
	// announcementTTL is how long an announcement is valid. A target may be alive although its announcements
	// do not arrive, so its exit is detected only through its connections.
	announcementTTL = 24 * time.Hour
	// defaultMaxConnections is the connection limit of a target whose service has no configured limit.
	defaultMaxConnections = 64
)

// targetAnnouncements receives the announcements of the node's target.
type targetAnnouncements struct {
	node *Node
}

// Announce processes an announcement. The connection limit comes from the routes.
func (t targetAnnouncements) Announce(now time.Time, a seamtarget.Announcement) error {
	a.Connections = t.node.maxConnections(a.Service)
	return t.node.targets.Announce(now, a)
}

// Depart processes the final announcement of a target.
func (t targetAnnouncements) Depart(now time.Time, id string) { t.node.targets.MarkLeaving(now, id) }

func (n *Node) maxConnections(service string) int {
	if t := n.routes.Current(); t != nil {
		if s, ok := t.Service(service); ok && s.MaxConnections > 0 {
			return s.MaxConnections
		}
	}
	return defaultMaxConnections
}

// warmup returns the warm-up settings of a service; zeros if it has none.
func (n *Node) warmup(service string) (rate float64, duration time.Duration) {
	t := n.routes.Current()
	if t == nil {
		return 0, 0
	}
	s, _ := t.Service(service)
	return s.WarmupRate, s.Warmup
}

func (n *Node) announcementRefused(id string, err error) {
	n.sink.Emit(time.Now(), seamevent.HeartbeatRefused, seamevent.Fields{"target": id, "error": err.Error()})
}

// targetWatcher notifies the node of changes of its target.
type targetWatcher struct {
	node *Node
}

// TargetChanged is called for each announcement, and with present set to false when the target is lost.
func (w targetWatcher) TargetChanged(seamtarget.Announcement, bool) { w.node.targetChanged() }

var _ seamannounce.Watcher = targetWatcher{}

// targetChanged updates the membership entry and the key holder with the target's current announcement.
func (n *Node) targetChanged() {
	a, present := n.targets.Current()
	target := seammembership.Target{}
	if present {
		target = seammembership.Target{
			Service: a.Service,
			ID:      a.Name,
			Started: a.Started,
			Address: a.Address,
			Slots:   a.MaxConcurrency,
			Leaving: a.Leaving,
		}
	}
	if present {
		n.egress.TargetAnnounced(time.Now(), a)
	}
	n.registration.Update(func(m *seammembership.Member) { m.Target = target })
	incarnation := seamholder.Incarnation{}
	if n.isKeyed(target.Service) {
		incarnation = seamholder.Incarnation{Service: a.Service, Address: a.Address, Holder: target.Holder(), MaxConcurrency: a.MaxConcurrency}
	}
	n.runner.SetIncarnation(incarnation)
	if a.Leaving {
		n.egress.TargetLeaving(time.Now(), a)
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

// originService returns the service of this instance, also while its target is down. What the target announces counts only if
// the settings name no service.
func (n *Node) originService() string {
	if service := n.targets.Expected().Service; service != "" {
		return service
	}
	a, _ := n.targets.Current()
	return a.Service
}

// expectedTarget returns what the settings tell of the node's target.
func expectedTarget(s seamsetting.Router) seamannounce.Expected {
	return seamannounce.Expected{Service: s.Service, Address: s.Target}
}
