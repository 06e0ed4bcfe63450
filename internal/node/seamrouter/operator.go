package seamrouter

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"cardamomseam/internal/member/seamfeed"
	"cardamomseam/internal/member/seammembership"
	"cardamomseam/internal/own/seamtable"
)

// Paths of the operators' HTTP API.
const (
	// MetricsPath serves the metrics in Prometheus text format.
	MetricsPath = "/metrics"
	// StatePath serves the node's State as JSON.
	StatePath = "/v1/state"
	// PoisonPath ends the quarantine of a request on DELETE. The service and the fingerprint follow, as State has them.
	PoisonPath = "/v1/poison"
)

// State is a node's view of the store, members, leaders and key owners.
type State struct {
	Node  string `json:"node"`
	Ready bool   `json:"ready"`
	// Store reports whether the store is reachable, and StoreSince since when that has been so.
	Store      bool      `json:"store"`
	StoreSince time.Time `json:"storesince"`
	// Feed tells where the node gets the changes of the store from, and how current they are.
	Feed seamfeed.Status `json:"feed"`
	// Routes is the revision of the routes in effect.
	Routes  int64                   `json:"routes"`
	Members []seammembership.Member `json:"members"`
	Leaders map[string]string       `json:"offices"`
	Tables  map[string]Assignment   `json:"tables"`
	// Held are the key ranges held by the node's target.
	Held []seamtable.Range `json:"held"`
	// Evacuations are the failure domains that operators have evacuated.
	Evacuations []Evacuation `json:"evacuations"`
	// Poison are the requests that are kept from the targets because they crash them.
	Poison []PoisonRequest `json:"poison"`
}

// PoisonRequest is a quarantined request.
type PoisonRequest struct {
	// Key is the service and the fingerprint.
	Key     string `json:"key"`
	Path    string `json:"path"`
	Caller  string `json:"caller"`
	Crashes int    `json:"crashes"`
	Trials  int    `json:"trials"`
}

// Assignment is the assignment of a service's key ranges to owners.
type Assignment struct {
	Revision int64             `json:"revision"`
	Epoch    uint64            `json:"epoch"`
	Ranges   []seamtable.Range `json:"ranges"`
}

func (n *Node) operatorRoutes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: MetricsPath, Handler: func(w http.ResponseWriter, _ *http.Request) { n.metricSet.WritePrometheus(w) }},
		{Method: http.MethodGet, Path: StatePath, Handler: func(w http.ResponseWriter, _ *http.Request) {
			httpx.WriteJson(w, http.StatusOK, n.State(time.Now()))
		}},
		{Method: http.MethodDelete, Path: PoisonPath + "/:service/:fingerprint", Handler: n.clearPoison},
	}
}

// clearPoison ends the quarantine of a request. It answers 204, 404 if there is none, or 503 if the store does not answer.
func (n *Node) clearPoison(w http.ResponseWriter, r *http.Request) {
	vars := pathvar.Vars(r)
	switch found, err := n.ClearPoison(r.Context(), vars["service"]+"/"+vars["fingerprint"]); {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !found:
		http.Error(w, "no such request is quarantined", http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// State returns the node's current view.
func (n *Node) State(now time.Time) State {
	since, ok := n.health.reachableSince(now)
	s := State{
		Node:       n.self.String(),
		Ready:      n.Ready(),
		Store:      ok,
		StoreSince: since,
		Feed:       n.feed.Status(),
		Routes:     n.routes.Revision(),
		Leaders:    map[string]string{},
		Tables:     map[string]Assignment{},
		Held:       n.runner.Ranges(),
		Poison:     n.poisonRequests(),

		Evacuations: n.evacuationList(now),
	}
	members := n.members.View().Members
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
