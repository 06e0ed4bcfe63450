// Package seamrouter assembles a router node whose routes, members and key owners are kept in a shared store.
package seamrouter

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/own/seamholder"
	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/route/seamegress"
	"cardamomseam/internal/rule/seamroutes"
)

// StoreConfig holds the addresses of the store, the callbacks for its calls and the timing of its watches.
type StoreConfig struct {
	// Addresses are the ip:port addresses of the store.
	Addresses []string
	// OnCallEnd is called at the end of each call except a stale read, with nil if the call reached the store and with
	// the cause if it did not. Stale reads are excluded, since they do not show whether the store is reachable.
	OnCallEnd func(call string, err error)
	// OnCallDuration is called with the duration of each call.
	OnCallDuration func(call string, took time.Duration, err error)
	// OnEraChange is called when the store has come back from a copy, with its eras before and after; may be nil.
	OnEraChange func(before, after int64)
	// OnItemRefused is called for each item of a response that can't be decoded; the others are used. May be nil.
	OnItemRefused func(err error)
	// OnCurrent is called when a watch has delivered all changes up to a revision, with a time before which no others were
	// acknowledged; may be nil.
	OnCurrent func(asOf time.Time, revision int64)
	// WatchTimeout returns the time without changes after which a watch is reopened.
	WatchTimeout func() time.Duration
	// ChangeBatchDelay is how long a watch collects further changes after the first one.
	ChangeBatchDelay time.Duration
}

// Targets receives the announcements of the node's target.
type Targets interface {
	// Announce processes an announcement. An error means that it describes no usable target.
	Announce(now time.Time, a seamtarget.Announcement) error
	// Depart processes the final announcement of a target: it finishes its running requests and then exits.
	Depart(now time.Time, id string)
}

// Adapter connects a node to the platform that it runs on. It only translates formats and protocols
// and makes no routing decisions.
type Adapter struct {
	// Store returns a client of the store and a function that closes it.
	Store func(StoreConfig) (seamstore.LeaseStore, func())
	// RulesKey is the key under which operators write the routes.
	RulesKey string
	// EvacuationPrefix is the prefix of the keys by which operators evacuate failure domains: the domain's name follows. Empty means
	// that they can't.
	EvacuationPrefix string
	// WatchPrefix is the common prefix of RulesKey, EvacuationPrefix and the keys of members and assigners, which share one watch.
	WatchPrefix string
	// DecodeRoutes decodes the routes in the operators' format.
	DecodeRoutes func(value []byte) (seamroutes.Document, error)
	// CallerMiddleware translates the requests of callers and the responses to them.
	CallerMiddleware func(next http.Handler) http.Handler
	// Dialect is the protocol between the node and its target.
	Dialect seamegress.Dialect
	// TargetClient returns a client that grants keys to the target and releases them, and a function that closes it.
	TargetClient func() (seamholder.TargetClient, func())
	// AnnounceRoutes returns the HTTP routes by which a target announces itself. refused is called for each
	// announcement that is rejected, with the id of the target and the cause.
	AnnounceRoutes func(targets Targets, refused func(id string, err error)) []rest.Route
	// HealthRoutes returns the HTTP routes by which the platform checks whether the node is ready.
	HealthRoutes func(ready func() bool) []rest.Route
}
