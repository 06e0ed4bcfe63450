// Package seamrouter assembles a node whose routes, members and owners stand in the store.
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

// StoreConfig says where the store is and who is told of its calls.
type StoreConfig struct {
	// Addresses are the ip:port addresses of the store.
	Addresses []string
	// Observe is told of the end of each call: nil, or why the store was not reached.
	OnCallEnd func(call string, err error)
	// Called is told of the time that each call took.
	OnCallDuration func(call string, took time.Duration, err error)
	// Wait returns the time after which a watch without changes is opened anew.
	WatchTimeout func() time.Duration
	// Gather returns the time after a change in which a watch gathers further ones.
	ChangeBatchDelay func() time.Duration
}

// Targets takes what the target beside the node says of itself.
type Targets interface {
	// Announce takes an announcement. An error means that it names no target to use.
	Announce(now time.Time, a seamtarget.Announcement) error
	// Depart takes the last word of a target: it serves what it has begun and then ends.
	Depart(now time.Time, id string)
}

// Adapter is what a node needs to know of the platform that it runs on. All of it translates;
// none of it decides.
type Adapter struct {
	// Store returns a client of the store and a function that closes it.
	Store func(StoreConfig) (seamstore.LeaseStore, func())
	// RulesKey is the key under which operators write the routes.
	RulesKey string
	// Watched precedes RulesKey and the keys of members and assigners, which are watched together.
	WatchPrefix string
	// DecodeRoutes reads the routes as an operator wrote them.
	DecodeRoutes func(value []byte) (seamroutes.Document, error)
	// Callers translates the requests of callers and the answers to them.
	CallerMiddleware func(next http.Handler) http.Handler
	// Dialect is how targets are spoken to.
	Dialect seamegress.Dialect
	// Orders returns what gives orders to the target, and a function that closes it.
	TargetClient func() (seamholder.TargetClient, func())
	// Announce returns the calls by which a target announces itself. refused is told of
	// announcements that can't be used.
	AnnounceRoutes func(targets Targets, refused func(id string, err error)) []rest.Route
	// Health returns the calls by which the platform asks whether the node is ready.
	HealthRoutes func(ready func() bool) []rest.Route
}
