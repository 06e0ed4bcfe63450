package seamrouter

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/member/seamfeed"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/rule/seamroutes"
	"cardamomseam/internal/rule/seamrule"
)

const (
	// maxConfirmShare is the share of a request's time that may pass until the node knows whether its routes are current.
	maxConfirmShare = 0.5
	// maxDoubt is how long the store may be out of reach until a node refuses a request without a route by the routes that it
	// knows, instead of telling its caller to come back.
	maxDoubt = 10 * time.Second
)

// isNoRoute reports whether the routes in effect have none for a request.
func isNoRoute(err error) bool {
	var d *seamroutes.DecisionError
	return errors.As(err, &d) && d.StatusCode == http.StatusNotFound
}

// decideCurrent decides a request for which no route is known by routes that are known to be current. A route that was added
// may not have arrived yet.
func (n *Node) decideCurrent(q *http.Request, service, region string) (seamrule.Decision, error) {
	ctx, cancel := confirmContext(q)
	defer cancel()
	unconfirmed := n.feed.Confirm(ctx, time.Now().Add(-seamfeed.MaxAge))
	decision, err := n.routes.Decide(q, service, region)
	if unconfirmed == nil || !isNoRoute(err) {
		return decision, err
	}
	contact := time.Since(n.lastStoreContact())
	if contact > maxDoubt {
		return decision, err
	}
	return decision, &seamroutes.DecisionError{
		StatusCode:    http.StatusServiceUnavailable,
		RefusalReason: seamoutcome.Rules,
		Detail: fmt.Sprintf("%v; whether that revision is current is not known: %v; the store answered %v ago",
			err, unconfirmed, contact.Round(time.Millisecond)),
	}
}

// lastStoreContact returns when the store last answered this node or the reader that it follows, and the start of this node if it
// has not.
func (n *Node) lastStoreContact() time.Time {
	if contact := n.feed.Status().Contact; !contact.IsZero() {
		return contact
	}
	return n.startedAt
}

// confirmContext returns the context of the wait for a request, which leaves it time to be served.
func confirmContext(q *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseInt(q.Header.Get(seamheader.Deadline), 10, 32)
	if err != nil {
		return context.WithCancel(q.Context())
	}
	return context.WithTimeout(q.Context(), time.Duration(maxConfirmShare*float64(left))*time.Millisecond)
}
