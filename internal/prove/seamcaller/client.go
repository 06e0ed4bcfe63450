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
	// Size is the size of the response to an Echo, and of the request body of a Book, in bytes.
	Size int
	// Caller is the caller's name. If it is empty, the node determines the caller.
	Caller string
	// Deadline is the time allowed for the request. If it is 0, the service's rule sets the deadline.
	Deadline time.Duration
}

// Client sends requests to nodes and checks the responses.
type Client struct {
	// Nodes returns the ingress addresses that a request may be sent to.
	Nodes func(q Request) []string
	// Direct says that requests go straight to a target, as in baseline measurements, and not
	// through a node. A target's response states no outcome, so status 200 counts as Done.
	Direct bool
	http   *http.Client
}

const (
	// requestTimeout is the time after which the client abandons a request to a node, in case the
	// node does not respond by the request's deadline.
	requestTimeout = 15 * time.Second
	dialTimeout    = time.Second
	// maxAttempts is the maximum number of nodes that are tried if no connection can be established.
	maxAttempts = 3
	// maxIdleConnectionsPerNode is the number of idle connections kept to each node.
	maxIdleConnectionsPerNode = 512
)

// NewClient returns a client and a function that closes its connections.
func NewClient(nodes func(q Request) []string) (*Client, func()) {
	d := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: maxIdleConnectionsPerNode,
		DisableCompression:  true,
	}
	c := &Client{Nodes: nodes, http: &http.Client{Transport: t, Timeout: requestTimeout}}
	return c, t.CloseIdleConnections
}

// Send sends a request and checks the response. If it can't connect to a node, it tries another,
// which is safe because the request can't have run.
func (c *Client) Send(ctx context.Context, request Request) Record {
	record := Record{ID: request.ID, Kind: request.Kind, Service: request.Service, Key: request.Key, Start: time.Now()}
	record.Due = record.Start
	record.Outcome, record.Reason = Unreached, "no node available"
	tried := map[string]bool{}
	for range maxAttempts {
		node, ok := pickUntried(c.Nodes(request), tried)
		if !ok {
			break
		}
		tried[node] = true
		record.Node = node
		c.sendTo(ctx, request, &record)
		if record.Outcome != Unreached {
			break
		}
	}
	record.End = time.Now()
	return record
}

// pickUntried returns a random node that has not been tried yet, and false if there is none.
func pickUntried(nodes []string, tried map[string]bool) (string, bool) {
	untried := make([]string, 0, len(nodes))
	for _, n := range nodes {
		if !tried[n] {
			untried = append(untried, n)
		}
	}
	if len(untried) == 0 {
		return "", false
	}
	return untried[rand.IntN(len(untried))], true
}

func (c *Client) sendTo(ctx context.Context, request Request, record *Record) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := newRequest(ctx, record.Node, request)
	if err != nil {
		record.Outcome, record.Reason = Unreached, err.Error()
		return
	}
	response, err := c.http.Do(r)
	if err != nil {
		record.Outcome, record.Reason = Unknown, err.Error()
		if !connected.Load() {
			record.Outcome = Unreached
		}
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	record.Status = response.StatusCode
	record.Server = response.Header.Get(seamheader.Server)
	record.Reason = response.Header.Get(seamheader.Reason)
	record.Outcome = c.outcomeOf(response, err)
	if err != nil {
		record.Reason = err.Error()
	}
	if record.Outcome == Done {
		verifyResponse(request, response.StatusCode, body, record)
	}
}

// outcomeOf returns the outcome that the response states, or InvalidResponse if it states none. If
// reading the body failed with err, the outcome is Unknown unless the request was refused.
func (c *Client) outcomeOf(response *http.Response, err error) Outcome {
	outcome := Outcome(response.Header.Get(seamheader.Outcome))
	switch {
	case outcome == Refused:
		return Refused
	case err != nil:
		return Unknown
	case outcome == Done, c.Direct && response.StatusCode == http.StatusOK:
		return Done
	case outcome == Unknown:
		return Unknown
	}
	return InvalidResponse
}

func newRequest(ctx context.Context, node string, request Request) (*http.Request, error) {
	method, path := http.MethodGet, seamstandtarget.EchoPath+"?size="+strconv.Itoa(request.Size)
	var body io.Reader
	switch request.Kind {
	case Book:
		method, path = http.MethodPost, seamstandtarget.BookPath
		body = bytes.NewReader(seamstandtarget.Pattern(request.ID, request.Size))
	case Read:
		path = seamstandtarget.KeyPath
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, body)
	if err != nil {
		return nil, err
	}
	setHeaders(r.Header, request)
	return r, nil
}

func setHeaders(h http.Header, request Request) {
	h.Set(seamheader.Service, request.Service)
	h.Set(seamheader.Request, request.ID)
	h.Set(seamstandtarget.IDHeader, request.ID)
	if request.Key != "" {
		h.Set(seamheader.Key, request.Key)
	}
	if request.Caller != "" {
		h.Set(seamheader.Caller, request.Caller)
	}
	if request.Deadline > 0 {
		h.Set(seamheader.Deadline, strconv.FormatInt(request.Deadline.Milliseconds(), 10))
	}
}

// verifyResponse checks that a successful response is complete and belongs to this request.
// A response with another status than 200 comes from the target itself and may have any body.
func verifyResponse(request Request, status int, body []byte, record *Record) {
	if status != http.StatusOK {
		record.Reason = "status " + strconv.Itoa(status)
		return
	}
	if request.Kind == Echo {
		if !bytes.Equal(body, seamstandtarget.Pattern(request.ID, request.Size)) {
			record.Outcome, record.Reason = InvalidResponse, "body is truncated or belongs to another request"
		}
		return
	}
	var receipt seamstandtarget.Receipt
	if err := json.Unmarshal(body, &receipt); err != nil || receipt.Request != request.ID || receipt.Key != request.Key {
		record.Outcome, record.Reason = InvalidResponse, "receipt is truncated or belongs to another request"
		return
	}
	record.BookingIDs = receipt.IDs
}
