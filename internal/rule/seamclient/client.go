// Package seamclient calls the administration API.
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
	// callTime bounds one call, except waits and streams.
	callTime = 10 * time.Second
	// changeAttempts is the number of times that a change is sent.
	changeAttempts = 3
	// changeWait is the time between two of them.
	changeWait = 200 * time.Millisecond
	// answerLimit is the longest answer, in bytes.
	answerLimit = 16 << 20
)

// Client calls the administration API of one node.
type Client struct {
	// Address is the ip:port of the API.
	Address string
	// Token is the team's token, or empty.
	Token string
}

// UnreachableError says that the API gave no answer.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from the administration API on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Edit says which version a change replaces.
type ChangeOptions struct {
	// Expect is the expected revision, 0 for none, or nil for any.
	Expect *int64
	// Writer identifies the change; empty for a new random one.
	Writer string
}

// request is one call of the API.
type request struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
}

// List returns the rules in force at the node.
// Errors of all methods are *UnreachableError and *seamapi.Problem.
func (c Client) List(ctx context.Context) (seamapi.RuleList, error) {
	return get[seamapi.RuleList](ctx, c, "/v1/rules", nil)
}

// Get returns the document of the service.
func (c Client) Get(ctx context.Context, service string) (seamapi.RuleResponse, error) {
	return get[seamapi.RuleResponse](ctx, c, rulePath(service), nil)
}

// History returns the changes of the service, latest first.
func (c Client) History(ctx context.Context, service string) (seamapi.History, error) {
	return get[seamapi.History](ctx, c, rulePath(service)+"/history", nil)
}

// Status returns what the node knows.
func (c Client) Status(ctx context.Context) (seamapi.StatusReport, error) {
	return get[seamapi.StatusReport](ctx, c, "/v1/status", nil)
}

// Keys returns up to limit of the keys that the node's target served most.
func (c Client) Keys(ctx context.Context, limit int) (seamapi.KeysReport, error) {
	return get[seamapi.KeysReport](ctx, c, "/v1/keys", url.Values{"limit": {strconv.Itoa(limit)}})
}

// Put records the document, which is YAML or JSON.
func (c Client) Put(ctx context.Context, service string, document []byte, e ChangeOptions) (seamapi.ChangeResult, error) {
	return c.change(ctx, request{method: http.MethodPut, path: rulePath(service), body: document}, e)
}

// Delete deletes the service.
func (c Client) Delete(ctx context.Context, service string, e ChangeOptions) (seamapi.ChangeResult, error) {
	return c.change(ctx, request{method: http.MethodDelete, path: rulePath(service)}, e)
}

// Label replaces the operators' labels of the instance; none removes them.
func (c Client) Label(ctx context.Context, service, instance string, labels map[string]string, e ChangeOptions) (seamapi.ChangeResult, error) {
	path := rulePath(service) + "/labels/" + url.PathEscape(instance)
	if len(labels) == 0 {
		return c.change(ctx, request{method: http.MethodDelete, path: path}, e)
	}
	body, err := json.Marshal(seamapi.LabelsRequest{Labels: labels})
	if err != nil {
		return seamapi.ChangeResult{}, err
	}
	return c.change(ctx, request{method: http.MethodPut, path: path, body: body}, e)
}

// Try makes a dry run.
func (c Client) Try(ctx context.Context, t seamapi.TryRequest) (seamapi.TryResult, error) {
	return send[seamapi.TryResult](ctx, c, http.MethodPost, "/v1/try", t)
}

// Drain orders the node to drain.
func (c Client) Drain(ctx context.Context, node string) (seamapi.OperationResult, error) {
	return send[seamapi.OperationResult](ctx, c, http.MethodPut, "/v1/nodes/"+url.PathEscape(node)+"/drain", struct{}{})
}

// Attest attests that the instances of the cell are lost for good.
func (c Client) Attest(ctx context.Context, cell string, instances []string) (seamapi.OperationResult, error) {
	path := "/v1/cells/" + url.PathEscape(cell) + "/attest"
	return send[seamapi.OperationResult](ctx, c, http.MethodPut, path, seamapi.AttestRequest{Instances: instances})
}

// Revision tells which cells have confirmed the revision, after at most the wait
// or once more than the known number of cells have.
func (c Client) Revision(ctx context.Context, revision int64, known int, wait time.Duration) (seamconfirm.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime+wait)
	defer cancel()
	var status seamconfirm.Status
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/revision", query: url.Values{
		"revision": {strconv.FormatInt(revision, 10)},
		"known":    {strconv.Itoa(known)},
		"wait":     {wait.String()},
	}}, &status)
	return status, err
}

// Events calls f with the events whose names begin with the prefix, also with later
// ones if follow is true, until f fails or ctx ends.
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
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var answer T
	err := c.call(ctx, request{method: http.MethodGet, path: path, query: query}, &answer)
	return answer, err
}

func send[T any](ctx context.Context, c Client, method, path string, body any) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var answer T
	text, err := json.Marshal(body)
	if err != nil {
		return answer, err
	}
	err = c.call(ctx, request{method: method, path: path, body: text}, &answer)
	return answer, err
}

// change sends a change. It is repeated with the same writer while its outcome is
// unknown, so it is recorded at most once.
func (c Client) change(ctx context.Context, r request, e ChangeOptions) (seamapi.ChangeResult, error) {
	if e.Writer == "" {
		e.Writer = uuid.NewString()
	}
	r.header = http.Header{}
	r.header.Set(seamapi.WriterHeader, e.Writer)
	if e.Expect != nil {
		r.header.Set("If-Match", strconv.Quote(strconv.FormatInt(*e.Expect, 10)))
	}
	for attempt := 1; ; attempt++ {
		recorded, err := c.attempt(ctx, r)
		if attempt == changeAttempts || !unknown(err) || !seamwait.For(ctx, changeWait) {
			return recorded, err
		}
	}
}

func (c Client) attempt(ctx context.Context, r request) (seamapi.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var recorded seamapi.ChangeResult
	err := c.call(ctx, r, &recorded)
	return recorded, err
}

// unknown reports whether the change may or may not have been recorded.
func unknown(err error) bool {
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
	if err := json.NewDecoder(io.LimitReader(response.Body, answerLimit)).Decode(into); err != nil {
		return &UnreachableError{Address: c.Address, Cause: err}
	}
	return nil
}

// do sends the request and turns answers that are not 200 into errors.
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
	return nil, problem(response)
}

// problem reads the problem from the answer.
func problem(response *http.Response) *seamapi.Problem {
	text, _ := io.ReadAll(io.LimitReader(response.Body, answerLimit))
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
