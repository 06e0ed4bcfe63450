package seamstore

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	wire "cardamomseam/internal/platform/seamstorewire"
)

// Config configures a Client.
type Config struct {
	// Endpoints are the ip:port addresses of the store. At least one is required.
	Endpoints []string
	// Timeout limits each call in addition to its context; 0 means DefaultTimeout.
	Timeout time.Duration
	// Rate is the sustained limit of calls per second; 0 means DefaultRate.
	Rate float64
	// Burst is the number of calls allowed at once; 0 means DefaultBurst.
	Burst int
	// Retries is the number of retries of a call that is safe to repeat; 0 means DefaultRetries.
	Retries int
}

const (
	// DefaultTimeout limits the duration of one call.
	DefaultTimeout = time.Second
	// DefaultRate is the sustained number of calls per second of one node.
	DefaultRate = 5
	// DefaultBurst is the number of calls that one node may make at once.
	DefaultBurst = 30
	// DefaultRetries is the number of retries of a call that is safe to repeat.
	DefaultRetries = 2
	// MaxValueBytes is the size of the largest value that the store accepts.
	MaxValueBytes = 1 << 20
)

const (
	maxResponseBytes = 64 << 20
	// maxHeaderBytes limits the size of the headers of a response.
	maxHeaderBytes  = 64 << 10
	idleTimeout     = 90 * time.Second
	dialTimeout     = 500 * time.Millisecond
	keepAlivePeriod = 5 * time.Second
	backoffInitial  = 50 * time.Millisecond
	backoffMax      = 2 * time.Second
)

// Client is a Store that uses the JSON gateway of the etcd v3 API.
type Client struct {
	cfg     Config
	service httpc.Service
	// endpoint, modulo the number of endpoints, is the index of the endpoint in use.
	endpoint    atomic.Int64
	budget      *budget
	backoff     backoff
	callMetrics callMetrics
	// closed is canceled when the client is closed.
	closed    context.Context
	transport *http.Transport
}

var _ Store = (*Client)(nil)

// SizeError reports a value larger than MaxValueBytes.
type SizeError struct {
	Key  string
	Size int
}

// Error gives the key and the size of the value.
func (e *SizeError) Error() string {
	return fmt.Sprintf("store value of %s has %d bytes, more than %d", e.Key, e.Size, MaxValueBytes)
}

// NoEndpointError reports a configuration without endpoints.
type NoEndpointError struct{}

// Error reports that an endpoint is missing.
func (e *NoEndpointError) Error() string { return "store configuration has no endpoints" }

// New returns a client and a function that ends its watches and closes idle connections.
func New(cfg Config, set *metrics.Set) (*Client, func(), error) {
	if len(cfg.Endpoints) == 0 {
		return nil, nil, &NoEndpointError{}
	}
	cfg = withDefaults(cfg)
	transport := newTransport()
	closed, cancel := context.WithCancel(context.Background())
	c := &Client{
		cfg:         cfg,
		service:     NewHTTPService(transport),
		budget:      newBudget(cfg.Rate, cfg.Burst),
		backoff:     backoff{initial: backoffInitial, max: backoffMax},
		callMetrics: newCallMetrics(set),
		closed:      closed,
		transport:   transport,
	}
	return c, func() {
		cancel()
		transport.CloseIdleConnections()
	}, nil
}

func withDefaults(cfg Config) Config {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Rate <= 0 {
		cfg.Rate = DefaultRate
	}
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	if cfg.Retries <= 0 {
		cfg.Retries = DefaultRetries
	}
	return cfg
}

func newTransport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// NewHTTPService returns an HTTP client without a circuit breaker. The call budget and the backoff already limit the
// calls to the store, and an open breaker would delay takeovers once the store is reachable again. httpc selects the
// breaker by the name of the service, so each client registers a unique name.
func NewHTTPService(t *http.Transport) httpc.Service {
	name := "store-" + uuid.NewString()
	breaker.NoBreakerFor(name)
	return httpc.NewServiceWithClient(name, &http.Client{Transport: t})
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, p Priority, key string) (Entry, error) {
	r := &wire.RangeResponse{}
	if err := c.read(ctx, p, key, &wire.RangeRequest{Key: []byte(key)}, r); err != nil {
		return Entry{}, err
	}
	if len(r.Kvs) == 0 {
		return Entry{Key: key}, nil
	}
	return entry(r.Kvs[0]), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, p Priority, prefix string) ([]Entry, int64, error) {
	r := &wire.RangeResponse{}
	q := &wire.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := c.read(ctx, p, prefix, q, r); err != nil {
		return nil, 0, err
	}
	entries := make([]Entry, 0, len(r.Kvs))
	for _, kv := range r.Kvs {
		entries = append(entries, entry(kv))
	}
	return entries, r.GetHeader().GetRevision(), nil
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, p Priority, key string, expect int64, value []byte) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, &UnavailableError{Key: key, Cause: &SizeError{Key: key, Size: len(value)}}
	}
	put := &wire.RequestOp{Request: &wire.RequestOp_RequestPut{
		RequestPut: &wire.PutRequest{Key: []byte(key), Value: value},
	}}
	return c.write(ctx, p, key, expect, put)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, p Priority, key string, expect int64) error {
	remove := &wire.RequestOp{Request: &wire.RequestOp_RequestDeleteRange{
		RequestDeleteRange: &wire.DeleteRangeRequest{Key: []byte(key)},
	}}
	_, err := c.write(ctx, p, key, expect, remove)
	return err
}

func (c *Client) read(ctx context.Context, p Priority, key string, q *wire.RangeRequest, r *wire.RangeResponse) error {
	for attempt := 0; ; attempt++ {
		if err := c.budget.acquire(time.Now(), p, key); err != nil {
			c.callMetrics.refused.Inc()
			return err
		}
		cause := c.post(ctx, "/v3/kv/range", q, r)
		if cause == nil {
			return nil
		}
		if attempt >= c.cfg.Retries || !c.waitBackoff(ctx, attempt) {
			return &UnavailableError{Key: key, Cause: cause}
		}
	}
}

func (c *Client) write(ctx context.Context, p Priority, key string, expect int64, op *wire.RequestOp) (int64, error) {
	q := conditionalWrite(key, expect, op)
	for attempt := 0; ; attempt++ {
		if err := c.budget.acquire(time.Now(), p, key); err != nil {
			c.callMetrics.refused.Inc()
			return 0, err
		}
		r := &wire.TxnResponse{}
		cause := c.post(ctx, "/v3/kv/txn", q, r)
		if cause == nil {
			return transactionResult(key, expect, r)
		}
		if maybeExecuted(cause) {
			return 0, &UnknownError{Key: key, Cause: cause}
		}
		if attempt >= c.cfg.Retries || !c.waitBackoff(ctx, attempt) {
			return 0, &UnavailableError{Key: key, Cause: cause}
		}
	}
}

// conditionalWrite returns a transaction that runs op if the key's revision is expect, and otherwise reads the key.
func conditionalWrite(key string, expect int64, op *wire.RequestOp) *wire.TxnRequest {
	return &wire.TxnRequest{
		Compare: []*wire.Compare{{
			Result:      wire.Compare_EQUAL,
			Target:      wire.Compare_MOD,
			Key:         []byte(key),
			TargetUnion: &wire.Compare_ModRevision{ModRevision: expect},
		}},
		Success: []*wire.RequestOp{op},
		Failure: []*wire.RequestOp{{Request: &wire.RequestOp_RequestRange{
			RequestRange: &wire.RangeRequest{Key: []byte(key)},
		}}},
	}
}

func transactionResult(key string, expect int64, r *wire.TxnResponse) (int64, error) {
	if r.Succeeded {
		return r.GetHeader().GetRevision(), nil
	}
	conflict := &ConflictError{Key: key, Expect: expect, Found: Entry{Key: key}}
	if len(r.Responses) > 0 {
		if kvs := r.Responses[0].GetResponseRange().GetKvs(); len(kvs) > 0 {
			conflict.Found = entry(kvs[0])
		}
	}
	return 0, conflict
}

// waitBackoff switches to the next endpoint, waits before the next attempt, and returns false if ctx ends or the
// client is closed.
func (c *Client) waitBackoff(ctx context.Context, attempt int) bool {
	c.endpoint.Add(1)
	t := time.NewTimer(c.backoff.delay(attempt))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-c.closed.Done():
		return false
	}
}

// callError reports a failed call.
type callError struct {
	// maybeExecuted is set if the store may have executed the request. It has not executed a request that it did not
	// receive or that it rejected with status 400.
	maybeExecuted bool
	cause         error
}

func (e *callError) Error() string { return e.cause.Error() }

func (e *callError) Unwrap() error { return e.cause }

func maybeExecuted(err error) bool {
	var call *callError
	return errors.As(err, &call) && call.maybeExecuted
}

// StatusError reports a response of the store with an error status.
type StatusError struct {
	Status int
	// Message is the store's error message.
	Message string
}

// Error gives the status and the store's error message.
func (e *StatusError) Error() string {
	return "store returned status " + http.StatusText(e.Status) + ": " + e.Message
}

var lenient = protojson.UnmarshalOptions{DiscardUnknown: true}

// post makes one call. Errors are of type *callError.
func (c *Client) post(ctx context.Context, path string, q, r proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	started := time.Now()
	response, maybeSent, err := c.open(ctx, path, q)
	if err != nil {
		c.callMetrics.failed(path)
		return &callError{maybeExecuted: maybeSent, cause: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err == nil {
		err = parse(response.StatusCode, body, r)
	}
	if err != nil {
		c.callMetrics.failed(path)
		return &callError{maybeExecuted: response.StatusCode != http.StatusBadRequest, cause: err}
	}
	c.callMetrics.succeeded(path, time.Since(started))
	return nil
}

func parse(status int, body []byte, r proto.Message) error {
	if status == http.StatusOK {
		return lenient.Unmarshal(body, r)
	}
	e := &wire.Error{}
	_ = lenient.Unmarshal(body, e)
	return &StatusError{Status: status, Message: e.GetMessage()}
}

// open sends a request and returns once the response headers are received. maybeSent reports whether the store
// may have received the request.
func (c *Client) open(ctx context.Context, path string, q proto.Message) (response *http.Response, maybeSent bool, err error) {
	body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(q)
	if err != nil {
		return nil, false, err
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(path), bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err = c.service.DoRequest(r)
	return response, connected.Load(), err
}

func (c *Client) url(path string) string {
	i := int(c.endpoint.Load()) % len(c.cfg.Endpoints)
	return "http://" + c.cfg.Endpoints[i] + path
}

func entry(kv *wire.KeyValue) Entry {
	return Entry{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

// prefixEnd returns the exclusive end of the range of keys that start with prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
