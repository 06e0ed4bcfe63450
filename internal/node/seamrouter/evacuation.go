package seamrouter

import (
	"slices"
	"strings"
	"time"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/own/seamevacuate"
	"cardamomseam/internal/own/seamtable"
)

// Evacuation is an evacuated failure domain.
type Evacuation struct {
	Domain string `json:"domain"`
	// Since is when this node learned of it, and Age the time since then in seconds.
	Since time.Time `json:"since"`
	Age   float64   `json:"age"`
}

// evacuatedDomain returns the failure domain that a store key evacuates, and false if the key is another one.
func (n *Node) evacuatedDomain(key string) (domain string, ok bool) {
	if n.adapter.EvacuationPrefix == "" {
		return "", false
	}
	return strings.CutPrefix(key, n.adapter.EvacuationPrefix)
}

// evacuate applies an evacuation that is in the store.
func (n *Node) evacuate(now time.Time, domain string, revision int64) {
	if n.evacuations.Put(now, domain) {
		n.sink.Emit(now, seamevent.DomainEvacuated, seamevent.Fields{"domain": domain, "from": "the store", "revision": revision})
	}
}

// evacuateFromPeer applies the evacuations that another node knows.
func (n *Node) evacuateFromPeer(now time.Time, peer string, domains []string) {
	for _, domain := range domains {
		if n.evacuations.PutFromPeer(now, domain) {
			n.sink.Emit(now, seamevent.DomainEvacuated, seamevent.Fields{"domain": domain, "from": peer})
		}
	}
}

// reinstate applies the end of an evacuation in the store.
func (n *Node) reinstate(now time.Time, domain string) {
	if ended, ok := n.evacuations.Delete(domain); ok {
		n.reinstated(now, ended)
	}
}

// reinstated logs the end of an evacuation.
func (n *Node) reinstated(now time.Time, e seamevacuate.Evacuation) {
	n.sink.Emit(now, seamevent.DomainReinstated, seamevent.Fields{"domain": e.Domain, "after": now.Sub(e.LearnedAt).Milliseconds()})
}

// beforeReinstatement tells the egress that the target beside this node may be cold: it may have restarted during the evacuation
// without an announcement that says so. Requests are refused until this returns, so that none starts at the rate of a warm target.
func (n *Node) beforeReinstatement(e seamevacuate.Evacuation) {
	if assume := n.assumeCold.Load(); assume != nil && e.Domain == n.self.Domain {
		(*assume)(time.Now())
	}
}

// evacuationsSynced ends the evacuations that only another node has reported and that are not in the store.
func (n *Node) evacuationsSynced(now time.Time) {
	for _, e := range n.evacuations.Synced() {
		n.reinstated(now, e)
	}
}

// targetEvacuated reports whether the target beside this node must get no more requests with a key, or without one.
func (n *Node) targetEvacuated(now time.Time, keyed bool) bool {
	e, ok := n.evacuations.Snapshot().Find(n.self.Domain)
	if !ok || !keyed {
		return ok
	}
	return e.RefusesKeyed(now, len(n.runner.Ranges()) == 0)
}

// placement returns the restriction of the targets that may hold keys of a service.
func (n *Node) placement(service string) seamtable.Placement {
	p := seamtable.Placement{ExcludedDomains: n.evacuations.Snapshot().Domains()}
	if t := n.routes.Current(); t != nil {
		p.Regions = t.ServiceRegions(service)
	}
	return p
}

// keysInEvacuatedDomains returns the number of keys of all services that targets in evacuated domains hold, by the tables that this
// node knows.
func (n *Node) keysInEvacuatedDomains() int {
	domains := n.evacuations.Snapshot().Domains()
	if len(domains) == 0 {
		return 0
	}
	keys := 0
	for _, t := range n.registry.Tables() {
		for _, r := range t.Ranges {
			if p, ok := t.Node(r); ok && slices.Contains(domains, p.Domain) {
				keys += r.Len()
			}
		}
	}
	return keys
}

// evacuationList returns the evacuations that the operators see in the state of the node.
func (n *Node) evacuationList(now time.Time) []Evacuation {
	list := []Evacuation{}
	for _, e := range n.evacuations.Snapshot().All() {
		list = append(list, Evacuation{Domain: e.Domain, Since: e.LearnedAt, Age: now.Sub(e.LearnedAt).Seconds()})
	}
	return list
}
