package seamcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/stand/seamstandtarget"
)

// Request is one request to send.
type Request struct {
	ID      string
	Kind    Kind
	Service string
	Key     string
	// Size is the size of the answer to an Echo, and of the body of a Book, in bytes.
	Size int
	// Caller names the caller; empty leaves it to the node.
	Caller string
	// Deadline is the time allowed; 0 leaves it to the rules.
	Deadline time.Duration
}

// Client sends requests to nodes.
type Client struct {
	// Nodes returns the ingress addresses to choose from for a request.
	Nodes func(q Request) []string
	// Direct sends as a node would to its target: for baselines without the router.
	Direct bool
	http   *http.Client
}

const (
	// requestTimeout bounds a request beyond its deadline.
	requestTimeout = 15 * time.Second
	dialTimeout    = time.Second
	// attempts is the number of nodes that are tried if they refuse the connection.
	attempts = 3
	// idleConnections is the number of idle connections kept to each node.
	idleConnections = 512
)

// NewClient returns a client and a function that closes its connections.
func NewClient(nodes func(q Request) []string) (*Client, func()) {
	d := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
	c := &Client{Nodes: nodes, http: &http.Client{Transport: t, Timeout: requestTimeout}}
	return c, t.CloseIdleConnections
}

// Send sends a request and checks the answer. A node that takes no connection is
// replaced by another, because the request can't have run.
func (c *Client) Send(ctx context.Context, q Request) Record {
	x := Record{ID: q.ID, Kind: q.Kind, Service: q.Service, Key: q.Key, Start: time.Now()}
	x.Due = x.Start
	x.Outcome, x.Reason = Unreached, "no node"
	tried := map[string]bool{}
	for range attempts {
		node, ok := choose(c.Nodes(q), tried)
		if !ok {
			break
		}
		tried[node] = true
		x.Node = node
		c.sendTo(ctx, q, &x)
		if x.Outcome != Unreached {
			break
		}
	}
	x.End = time.Now()
	return x
}

// choose returns a random node that was not tried.
func choose(nodes []string, tried map[string]bool) (string, bool) {
	left := make([]string, 0, len(nodes))
	for _, n := range nodes {
		if !tried[n] {
			left = append(left, n)
		}
	}
	if len(left) == 0 {
		return "", false
	}
	return left[rand.IntN(len(left))], true
}

func (c *Client) sendTo(ctx context.Context, q Request, x *Record) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := build(ctx, x.Node, q)
	if err != nil {
		x.Outcome, x.Reason = Unreached, err.Error()
		return
	}
	answer, err := c.http.Do(r)
	if err != nil {
		x.Outcome, x.Reason = Unknown, err.Error()
		if !connected.Load() {
			x.Outcome = Unreached
		}
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	x.Status = answer.StatusCode
	x.Server = answer.Header.Get(seamheader.Server)
	x.Reason = answer.Header.Get(seamheader.Reason)
	x.Outcome = c.outcome(answer, err)
	if err != nil {
		x.Reason = err.Error()
	}
	if x.Outcome == Done {
		verify(q, answer.StatusCode, body, x)
	}
}

// outcome reads the outcome that the answer states. A body that broke off is unknown.
func (c *Client) outcome(answer *http.Response, err error) Outcome {
	stated := Outcome(answer.Header.Get(seamheader.Outcome))
	switch {
	case stated == Refused:
		return Refused
	case err != nil:
		return Unknown
	case stated == Done, c.Direct && answer.StatusCode == http.StatusOK:
		return Done
	case stated == Unknown:
		return Unknown
	}
	return InvalidResponse
}

func build(ctx context.Context, node string, q Request) (*http.Request, error) {
	method, path := http.MethodGet, seamstandtarget.EchoPath+"?size="+strconv.Itoa(q.Size)
	var body io.Reader
	switch q.Kind {
	case Book:
		method, path = http.MethodPost, seamstandtarget.BookPath
		body = bytes.NewReader(seamstandtarget.Pattern(q.ID, q.Size))
	case Read:
		path = seamstandtarget.KeyPath
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, body)
	if err != nil {
		return nil, err
	}
	setHeaders(r.Header, q)
	return r, nil
}

func setHeaders(h http.Header, q Request) {
	h.Set(seamheader.Service, q.Service)
	h.Set(seamheader.Request, q.ID)
	h.Set(seamstandtarget.IDHeader, q.ID)
	if q.Key != "" {
		h.Set(seamheader.Key, q.Key)
	}
	if q.Caller != "" {
		h.Set(seamheader.Caller, q.Caller)
	}
	if q.Deadline > 0 {
		h.Set(seamheader.Deadline, strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	}
}

// verify checks that a successful answer is the whole answer to this request. Other
// statuses are the target's own and may have any body.
func verify(q Request, status int, body []byte, x *Record) {
	if status != http.StatusOK {
		x.Reason = "status " + strconv.Itoa(status)
		return
	}
	if q.Kind == Echo {
		if !bytes.Equal(body, seamstandtarget.Pattern(q.ID, q.Size)) {
			x.Outcome, x.Reason = InvalidResponse, "body of another request or cut short"
		}
		return
	}
	var receipt seamstandtarget.Receipt
	if err := json.Unmarshal(body, &receipt); err != nil || receipt.Request != q.ID || receipt.Key != q.Key {
		x.Outcome, x.Reason = InvalidResponse, "receipt of another request or cut short"
		return
	}
	x.BookingIDs = receipt.IDs
}
