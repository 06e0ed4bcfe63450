package seamrouter

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/own/seamtable"
)

// Paths of the operators' calls.
const (
	// MetricsPath gives the metrics as text.
	MetricsPath = "/metrics"
	// StatePath gives what the node believes.
	StatePath = "/v1/state"
)

// State is what a node believes.
type State struct {
	Node  string `json:"node"`
	Ready bool   `json:"ready"`
	// Store says whether the store can be reached, and since when that is so.
	Store      bool      `json:"store"`
	StoreSince time.Time `json:"storesince"`
	// Routes is the revision of the routes in force.
	Routes  int64                   `json:"routes"`
	Members []seammembership.Member `json:"members"`
	Leaders map[string]string       `json:"offices"`
	Tables  map[string]Assignment   `json:"tables"`
	// Held are the keys of the target beside the node.
	Held []seamtable.Range `json:"held"`
}

// Assigned is the assignment of the keys of a service.
type Assignment struct {
	Revision int64             `json:"revision"`
	Epoch    uint64            `json:"epoch"`
	Ranges   []seamtable.Range `json:"ranges"`
}

func (n *Node) operatorRoutes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: MetricsPath, Handler: func(w http.ResponseWriter, _ *http.Request) { n.set.WritePrometheus(w) }},
		{Method: http.MethodGet, Path: StatePath, Handler: func(w http.ResponseWriter, _ *http.Request) {
			httpx.WriteJson(w, http.StatusOK, n.State(time.Now()))
		}},
	}
}

// State returns what the node believes.
func (n *Node) State(now time.Time) State {
	since, ok := n.health.steady(now)
	s := State{
		Node:       n.self.String(),
		Ready:      n.Ready(),
		Store:      ok,
		StoreSince: since,
		Routes:     n.book.Revision(),
		Leaders:    map[string]string{},
		Tables:     map[string]Assignment{},
		Held:       n.runner.Ranges(),
	}
	members := n.roll.View().Members
	for _, name := range slices.Sorted(maps.Keys(members)) {
		s.Members = append(s.Members, members[name])
	}
	for service, t := range n.registry.Tables() {
		s.Tables[service] = Assignment{Revision: t.Revision, Epoch: t.Epoch, Ranges: t.Ranges}
		if record, ok := n.registry.Leader(service); ok {
			s.Leaders[service] = record.Peer.String()
		}
	}
	return s
}
