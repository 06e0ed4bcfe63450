// Package seamclient is an HTTP client for the administration API. It retries changes with an
// idempotency key.
package seamclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamconfirm"
)

const (
	// callTimeout limits a single call, excluding waits and streams.
	callTimeout = 10 * time.Second
	// maxChangeAttempts limits how often a change is sent.
	maxChangeAttempts = 3
	// changeRetryDelay is the delay between two attempts.
	changeRetryDelay = 200 * time.Millisecond
	// maxResponseSize limits a response body, in bytes.
	maxResponseSize = 16 << 20
)

// Client calls the administration API of one node.
type Client struct {
	// Address is the ip:port of the API.
	Address string
	// Token is the team's bearer token, or empty.
	Token string
}

// UnreachableError reports that the API returned no complete response.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no response from the administration API at %s: %v", e.Address, e.Cause)
}

// Unwrap returns the underlying error.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// ChangeOptions are the preconditions and the idempotency key of a change.
type ChangeOptions struct {
	// Expect is the revision that the change replaces: 0 for no document, nil for any revision.
	Expect *int64
	// Writer is the idempotency key of the change. Empty means a new random key.
	Writer string
}

// request is a request to the API.
type request struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
}

// List returns the rules in force at the node.
// All methods return *UnreachableError or *seamapi.Problem on failure.
func (c Client) List(ctx context.Context) (seamapi.RuleList, error) {
	return get[seamapi.RuleList](ctx, c, "/v1/rules", nil)
}

// Get returns the rules of the service.
func (c Client) Get(ctx context.Context, service string) (seamapi.RuleResponse, error) {
	return get[seamapi.RuleResponse](ctx, c, rulePath(service), nil)
}

// History returns the changes of the service, latest first.
func (c Client) History(ctx context.Context, service string) (seamapi.History, error) {
	return get[seamapi.History](ctx, c, rulePath(service)+"/history", nil)
}

// Status returns the state of all cells, as collected by the node.
func (c Client) Status(ctx context.Context) (seamapi.StatusReport, error) {
	return get[seamapi.StatusReport](ctx, c, "/v1/status", nil)
}

// Keys returns up to limit keys with the highest request rates at the node's target.
func (c Client) Keys(ctx context.Context, limit int) (seamapi.KeysReport, error) {
	return get[seamapi.KeysReport](ctx, c, "/v1/keys", url.Values{"limit": {strconv.Itoa(limit)}})
}

// Put records a document in YAML or JSON as the rules of the service.
func (c Client) Put(ctx context.Context, service string, document []byte, options ChangeOptions) (seamapi.ChangeResult, error) {
	return c.sendChange(ctx, request{method: http.MethodPut, path: rulePath(service), body: document}, options)
}

// Delete deletes the rules of the service.
func (c Client) Delete(ctx context.Context, service string, options ChangeOptions) (seamapi.ChangeResult, error) {
	return c.sendChange(ctx, request{method: http.MethodDelete, path: rulePath(service)}, options)
}

// Label replaces the operator-defined labels of the instance. An empty map removes them.
func (c Client) Label(ctx context.Context, service, instance string, labels map[string]string, options ChangeOptions) (seamapi.ChangeResult, error) {
	path := rulePath(service) + "/labels/" + url.PathEscape(instance)
	if len(labels) == 0 {
		return c.sendChange(ctx, request{method: http.MethodDelete, path: path}, options)
	}
	body, err := json.Marshal(seamapi.LabelsRequest{Labels: labels})
	if err != nil {
		return seamapi.ChangeResult{}, err
	}
	return c.sendChange(ctx, request{method: http.MethodPut, path: path, body: body}, options)
}

// Try evaluates a document, and a request against it, without changing anything.
func (c Client) Try(ctx context.Context, t seamapi.TryRequest) (seamapi.TryResult, error) {
	return send[seamapi.TryResult](ctx, c, http.MethodPost, "/v1/try", t)
}

// Drain makes the node drain.
func (c Client) Drain(ctx context.Context, node string) (seamapi.OperationResult, error) {
	return send[seamapi.OperationResult](ctx, c, http.MethodPut, "/v1/nodes/"+url.PathEscape(node)+"/drain", struct{}{})
}

// Attest confirms that the instances of the cell are permanently lost.
func (c Client) Attest(ctx context.Context, cell string, instances []string) (seamapi.OperationResult, error) {
	path := "/v1/cells/" + url.PathEscape(cell) + "/attest"
	return send[seamapi.OperationResult](ctx, c, http.MethodPut, path, seamapi.AttestRequest{Instances: instances})
}

// Revision reports which cells have confirmed the revision. It returns after wait, or as soon as
// more than known cells or all cells have confirmed it.
func (c Client) Revision(ctx context.Context, revision int64, known int, wait time.Duration) (seamconfirm.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	var status seamconfirm.Status
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/revision", query: url.Values{
		"revision": {strconv.FormatInt(revision, 10)},
		"known":    {strconv.Itoa(known)},
		"wait":     {wait.String()},
	}}, &status)
	return status, err
}

// Events calls f for each recent event whose name starts with prefix. If follow is true it
// continues with new events until f returns an error or ctx is done.
func (c Client) Events(ctx context.Context, prefix string, follow bool, f func(seamevent.Event) error) error {
	query := url.Values{"name": {prefix}, "follow": {strconv.FormatBool(follow)}}
	response, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/events", query: query})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for {
		var e seamevent.Event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &UnreachableError{Address: c.Address, Cause: err}
		}
		if err := f(e); err != nil {
			return err
		}
	}
}

func rulePath(service string) string {
	return "/v1/rules/" + url.PathEscape(service)
}

func get[T any](ctx context.Context, c Client, path string, query url.Values) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer T
	err := c.call(ctx, request{method: http.MethodGet, path: path, query: query}, &answer)
	return answer, err
}

func send[T any](ctx context.Context, c Client, method, path string, body any) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer T
	text, err := json.Marshal(body)
	if err != nil {
		return answer, err
	}
	err = c.call(ctx, request{method: method, path: path, body: text}, &answer)
	return answer, err
}

// sendChange sends a change. While the outcome is unknown it retries with the same idempotency
// key, so the change is recorded at most once.
func (c Client) sendChange(ctx context.Context, r request, options ChangeOptions) (seamapi.ChangeResult, error) {
	if options.Writer == "" {
		options.Writer = uuid.NewString()
	}
	r.header = http.Header{}
	r.header.Set(seamapi.WriterHeader, options.Writer)
	if options.Expect != nil {
		r.header.Set("If-Match", strconv.Quote(strconv.FormatInt(*options.Expect, 10)))
	}
	for attempt := 1; ; attempt++ {
		recorded, err := c.attemptChange(ctx, r)
		if attempt == maxChangeAttempts || !outcomeUnknown(err) || !seamwait.For(ctx, changeRetryDelay) {
			return recorded, err
		}
	}
}

func (c Client) attemptChange(ctx context.Context, r request) (seamapi.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var recorded seamapi.ChangeResult
	err := c.call(ctx, r, &recorded)
	return recorded, err
}

// outcomeUnknown reports whether the change may or may not have been recorded.
func outcomeUnknown(err error) bool {
	var unreachable *UnreachableError
	var p *seamapi.Problem
	return errors.As(err, &unreachable) || errors.As(err, &p) && p.Code == seamapi.CodeUnknown
}

func (c Client) call(ctx context.Context, r request, into any) error {
	response, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseSize)).Decode(into); err != nil {
		return &UnreachableError{Address: c.Address, Cause: err}
	}
	return nil
}

// do sends the request and returns an error for any status other than 200.
func (c Client) do(ctx context.Context, r request) (*http.Response, error) {
	u := "http://" + c.Address + r.path
	if len(r.query) > 0 {
		u += "?" + r.query.Encode()
	}
	q, err := http.NewRequestWithContext(ctx, r.method, u, bytes.NewReader(r.body))
	if err != nil {
		return nil, &UnreachableError{Address: c.Address, Cause: err}
	}
	for name := range r.header {
		q.Header.Set(name, r.header.Get(name))
	}
	if c.Token != "" {
		q.Header.Set("Authorization", "Bearer "+c.Token)
	}
	response, err := httpc.DoRequest(q)
	if err != nil {
		return nil, &UnreachableError{Address: c.Address, Cause: err}
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, decodeProblem(response)
}

// decodeProblem reads the problem from an error response. If the body is not a problem, its text
// becomes the text of one.
func decodeProblem(response *http.Response) *seamapi.Problem {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	p := &seamapi.Problem{}
	if json.Unmarshal(text, p) != nil || p.Status == 0 {
		p = &seamapi.Problem{Code: seamapi.CodeInternal, Text: strings.TrimSpace(string(text))}
	}
	p.Status = response.StatusCode
	if p.Text == "" {
		p.Text = response.Status
	}
	return p
}
