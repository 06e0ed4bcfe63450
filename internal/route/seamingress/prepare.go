package seamingress

import (
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/platform/seamguard"
	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/rule/seamrule"
)

// maxRequestIDBytes is the maximum length of a request id chosen by a caller.
const maxRequestIDBytes = 256

// refusedRequest is the response to a request that is refused before any attempt.
type refusedRequest struct {
	End    seamoutcome.End
	Status int
}

// refuse returns a refusal with the reason and its default status.
func refuse(r seamoutcome.Reason, detail string) *refusedRequest {
	return &refusedRequest{End: seamoutcome.NewRefused(r, detail), Status: seamoutcome.Lookup(r).Status}
}

// statusError is an error that determines the status and reason of the response.
type statusError interface {
	error
	Status() int
	Reason() string
}

// prepare validates a request, applies the routing rules and reads a short body.
func (i *Ingress) prepare(w http.ResponseWriter, r *http.Request, now time.Time) (*exchange, *refusedRequest) {
	if !beginRequest(r, now) {
		return nil, refuse(seamoutcome.Memory, "the node has no memory left for the request")
	}
	if refused := i.checkRequest(r); refused != nil {
		return nil, refused
	}
	service := serviceOf(r)
	decision, err := i.rules.Decide(r, service, i.self.Region)
	if err != nil {
		return nil, refuseUndecided(err)
	}
	left, err := timeLeft(r, decision.Limits)
	if err != nil {
		return nil, refuse(seamoutcome.Malformed, err.Error())
	}
	if left <= 0 {
		return nil, refuse(seamoutcome.Expired, "the deadline passed before the request arrived")
	}
	if decision.Service != "" {
		service = decision.Service
	}
	x := &exchange{
		ingress:   i,
		service:   service,
		decision:  decision,
		arrivedAt: now,
		deadline:  now.Add(left),
		responder: newResponder(w, i.cfg.WriteTimeout),
		head:      i.newHead(r, service, decision),
	}
	if decision.Objective > 0 {
		x.objective = now.Add(decision.Objective)
	}
	if !i.cfg.UniqueAttemptIDs {
		x.callerRequestID = r.Header.Get(seamheader.Request)
	}
	body, refused := i.readBody(w, r, x.deadline)
	if refused != nil {
		return nil, refused
	}
	x.body = body
	x.head.Length = body.length
	if !r.ProtoAtLeast(1, 1) {
		x.responder.mayTruncateUnnoticed = func() bool { return !body.fullyRead() }
	}
	return x, nil
}

// checkRequest refuses requests that are malformed, too large or not supported.
func (i *Ingress) checkRequest(r *http.Request) *refusedRequest {
	switch {
	case headerSize(r.Header) > i.cfg.MaxHeaderBytes:
		return refuse(seamoutcome.Headers, "the headers exceed the limit of "+strconv.Itoa(i.cfg.MaxHeaderBytes)+" bytes")
	case r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "":
		return refuse(seamoutcome.Upgrade, "connection upgrades and CONNECT are not supported")
	case !strings.HasPrefix(r.URL.RequestURI(), "/"):
		return refuse(seamoutcome.Malformed, "the path does not begin with a slash")
	case len(r.Header.Get(seamheader.Request)) > maxRequestIDBytes:
		return refuse(seamoutcome.Malformed, "the request id exceeds the limit of "+strconv.Itoa(maxRequestIDBytes)+" bytes")
	}
	return nil
}

// headerSize returns the size of all header names and values in bytes.
func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// serviceOf returns the service named in the request's header, or else the first label of its host.
func serviceOf(r *http.Request) string {
	if s := r.Header.Get(seamheader.Service); s != "" {
		return s
	}
	first, _, _ := strings.Cut(r.Host, ".")
	name, _, _ := strings.Cut(first, ":")
	return name
}

// refuseUndecided returns the refusal of a request for which the rules gave no decision.
func refuseUndecided(err error) *refusedRequest {
	var s statusError
	if !errors.As(err, &s) {
		return refuse(seamoutcome.Rules, err.Error())
	}
	refused := refuse(seamoutcome.Reason(s.Reason()), err.Error())
	refused.Status = s.Status()
	return refused
}

// timeLeft returns the time until the request's deadline: the lesser of the caller's and that of the rules.
func timeLeft(r *http.Request, limits seamrule.Limits) (time.Duration, error) {
	left := time.Duration(limits.DeadlineMillis) * time.Millisecond
	if left <= 0 {
		left = seamrule.DefaultDeadline
	}
	requested := r.Header.Get(seamheader.Deadline)
	if requested == "" {
		return left, nil
	}
	n, err := strconv.ParseInt(requested, 10, 32)
	if err != nil {
		return 0, errors.Wrap(err, seamheader.Deadline)
	}
	return min(left, time.Duration(n)*time.Millisecond), nil
}

// newHead returns the head of the request for the node that will run it.
func (i *Ingress) newHead(r *http.Request, service string, decision seamrule.Decision) *seamroutewire.RequestHead {
	head := &seamroutewire.RequestHead{
		Service:    service,
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		Host:       r.Host,
		Headers:    seamcall.EndToEndFields(r.Header),
		Slot:       decision.Slot,
		Keyed:      decision.Keyed,
		Key:        []byte(decision.Key),
		Idempotent: idempotent(r, decision.Idempotency),
		Caller:     callerOf(r),
		Queue:      int32(queueLimit(decision.Limits)),
		Revision:   decision.Revision,
		Request:    r.Header.Get(seamheader.Request),
		Priority:   int32(decision.Priority),
		Class:      classOf(decision),
	}
	if i.cfg.OriginService != nil {
		head.Origin = i.cfg.OriginService()
	}
	if decision.Keyed {
		head.Region = i.self.Region
	}
	if i.cfg.OmitOptionalFields {
		omitOptionalFields(head, r.Header)
	}
	if i.cfg.UniqueAttemptIDs {
		head.Id = seamcall.RandomID()
		return head
	}
	if head.Request != "" {
		head.Id = seamcall.IDFromName(service, head.Request)
		return head
	}
	head.Id = seamcall.RandomID()
	head.Request = seamcall.FormatID(head.Id)
	return head
}

// omitOptionalFields removes from a head what other fields contain, and what only per-caller admission needs.
func omitOptionalFields(head *seamroutewire.RequestHead, h http.Header) {
	head.Headers = seamcall.EndToEndFields(h, seamheader.Request, seamheader.Deadline, seamheader.Key, seamheader.Caller, "Content-Length")
	head.Caller, head.Queue, head.Region, head.Key = "", 0, "", nil
}

// classOf returns a hash that identifies the requests of the same selector or route.
func classOf(decision seamrule.Decision) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(decision.Selector)) // writes to a hash never fail
	return h.Sum32()
}

// queueLimit returns the queue limit of the rules, or the default.
func queueLimit(l seamrule.Limits) int {
	if l.QueueLength > 0 {
		return l.QueueLength
	}
	return seamrule.DefaultQueueLength
}

// idempotent reports whether the request may run more than once: by the rules, by its header, or else by its method.
func idempotent(r *http.Request, repeat seamrule.Idempotency) bool {
	if repeat != seamrule.IdempotencyFromRequest {
		return repeat == seamrule.Idempotent
	}
	switch r.Header.Get(seamheader.Idempotent) {
	case "true":
		return true
	case "false":
		return false
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// callerOf returns the caller named in the request's header, or else the remote host.
func callerOf(r *http.Request) string {
	if c := r.Header.Get(seamheader.Caller); c != "" {
		return c
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// readBody reads a short body within the deadline, so that a slow caller occupies
// no slot at a target.
func (i *Ingress) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (*requestBody, *refusedRequest) {
	if r.ContentLength == 0 {
		return &requestBody{fullyBuffered: true}, nil
	}
	memory := bodyMemory(r.ContentLength)
	if !i.cfg.Guard.Reserve(time.Now(), seamguard.Bodies, memory) {
		return nil, refuse(seamoutcome.Memory, "the node has no memory left for the body")
	}
	body, err := newBody(r, i.maxBodyBytes(), &readDeadline{rc: http.NewResponseController(w), whole: deadline})
	if err != nil {
		i.cfg.Guard.Release(memory)
		return nil, refuseBody(err)
	}
	body.onRelease = func() { i.cfg.Guard.Release(memory) }
	if body.fullyBuffered {
		body.deadline.remove()
	}
	return body, nil
}

// maxBodyBytes returns the largest request body.
func (i *Ingress) maxBodyBytes() int64 {
	if i.cfg.BodyLimit != nil {
		if limit := i.cfg.BodyLimit(); limit > 0 {
			return limit
		}
	}
	return i.cfg.MaxBodyBytes
}

// refuseBody returns the refusal of a request whose body could not be read.
func refuseBody(err error) *refusedRequest {
	var b *bodyError
	if errors.As(err, &b) {
		return refuse(b.Reason, err.Error())
	}
	return refuse(seamoutcome.Malformed, "the body is shorter than its Content-Length")
}
