package seamingress

import (
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamheader"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/rule/seamrule"
)

// requestLimit is the longest id that a caller may choose, in bytes.
const requestLimit = 256

// refusedRequest is a request that goes nowhere.
type refusedRequest struct {
	End    seamoutcome.End
	Status int
}

func refuse(r seamoutcome.Reason, detail string) *refusedRequest {
	return &refusedRequest{End: seamoutcome.NewRefused(r, detail), Status: seamoutcome.Lookup(r).Status}
}

// stated is an error that states its answer.
type stated interface {
	error
	Status() int
	Reason() string
}

// prepare checks a request, decides where it may go and reads a short body.
func (i *Ingress) prepare(w http.ResponseWriter, r *http.Request, now time.Time) (*exchange, *refusedRequest) {
	if refused := i.checkForm(r); refused != nil {
		return nil, refused
	}
	service := serviceOf(r)
	choice, err := i.rules.Decide(r, service, i.self.Region)
	if err != nil {
		return nil, undecided(err)
	}
	left, err := timeLeft(r, choice.Limits)
	if err != nil {
		return nil, refuse(seamoutcome.Malformed, err.Error())
	}
	if left <= 0 {
		return nil, refuse(seamoutcome.Expired, "the deadline passed before the request arrived")
	}
	if choice.Service != "" {
		service = choice.Service
	}
	x := &exchange{
		ingress:  i,
		service:  service,
		choice:   choice,
		start:    now,
		deadline: now.Add(left),
		answer:   newResponder(w, i.cfg.WriteTimeout),
		head:     i.headOf(r, service, choice),
	}
	if choice.Objective > 0 {
		x.objective = now.Add(choice.Objective)
	}
	if !i.cfg.UniqueAttemptIDs {
		x.named = r.Header.Get(seamheader.Request)
	}
	body, refused := i.readBody(w, r, x.deadline)
	if refused != nil {
		return nil, refused
	}
	x.body = body
	x.head.Length = body.length
	return x, nil
}

func (i *Ingress) checkForm(r *http.Request) *refusedRequest {
	switch {
	case headerSize(r.Header) > i.cfg.MaxHeaderBytes:
		return refuse(seamoutcome.Headers, "headers are longer than "+strconv.Itoa(i.cfg.MaxHeaderBytes)+" bytes")
	case r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "":
		return refuse(seamoutcome.Upgrade, "other protocols are not passed on")
	case !strings.HasPrefix(r.URL.RequestURI(), "/"):
		return refuse(seamoutcome.Malformed, "the path does not begin with a slash")
	case len(r.Header.Get(seamheader.Request)) > requestLimit:
		return refuse(seamoutcome.Malformed, "the request id is longer than "+strconv.Itoa(requestLimit)+" bytes")
	}
	return nil
}

func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// serviceOf returns the service that the request names, or the first label of its host.
func serviceOf(r *http.Request) string {
	if s := r.Header.Get(seamheader.Service); s != "" {
		return s
	}
	first, _, _ := strings.Cut(r.Host, ".")
	name, _, _ := strings.Cut(first, ":")
	return name
}

func undecided(err error) *refusedRequest {
	var s stated
	if !errors.As(err, &s) {
		return refuse(seamoutcome.Rules, err.Error())
	}
	refused := refuse(seamoutcome.Reason(s.Reason()), err.Error())
	refused.Status = s.Status()
	return refused
}

// timeLeft returns the caller's deadline within that of the rules.
func timeLeft(r *http.Request, limits seamrule.Limits) (time.Duration, error) {
	left := time.Duration(limits.Deadline) * time.Millisecond
	if left <= 0 {
		left = seamrule.DefaultDeadline
	}
	asked := r.Header.Get(seamheader.Deadline)
	if asked == "" {
		return left, nil
	}
	n, err := strconv.ParseInt(asked, 10, 32)
	if err != nil {
		return 0, errors.Wrap(err, seamheader.Deadline)
	}
	return min(left, time.Duration(n)*time.Millisecond), nil
}

func (i *Ingress) headOf(r *http.Request, service string, choice seamrule.Choice) *seamroutewire.RequestHead {
	head := &seamroutewire.RequestHead{
		Service:    service,
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		Host:       r.Host,
		Headers:    seamcall.EndToEndFields(r.Header),
		Slot:       choice.Slot,
		Keyed:      choice.Keyed,
		Key:        []byte(choice.Key),
		Idempotent: idempotent(r, choice.Repeat),
		Caller:     callerOf(r),
		Queue:      int32(queueOf(choice.Limits)),
		Revision:   choice.Revision,
		Request:    r.Header.Get(seamheader.Request),
		Priority:   int32(choice.Priority),
		Class:      classOf(choice),
	}
	if i.cfg.OriginService != nil {
		head.Origin = i.cfg.OriginService()
	}
	if choice.Keyed {
		head.Region = i.self.Region
	}
	if i.cfg.OmitOptionalFields {
		lighten(head, r.Header)
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

// lighten leaves out of a head what other fields say, or what only the admission by callers needs.
func lighten(head *seamroutewire.RequestHead, h http.Header) {
	head.Headers = seamcall.EndToEndFields(h, seamheader.Request, seamheader.Deadline, seamheader.Key, seamheader.Caller, "Content-Length")
	head.Caller, head.Queue, head.Region, head.Key = "", 0, "", nil
}

// classOf returns a number for the requests of a selector or route.
func classOf(choice seamrule.Choice) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(choice.Selector)) // a hash takes every byte
	return h.Sum32()
}

func queueOf(l seamrule.Limits) int {
	if l.Queue > 0 {
		return l.Queue
	}
	return seamrule.DefaultQueue
}

// idempotent reports whether the request may run more than once.
func idempotent(r *http.Request, repeat seamrule.Repeat) bool {
	if repeat != seamrule.ByRequest {
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

// readBody reads a short body within the deadline, so that a slow caller takes
// no place at a target.
func (i *Ingress) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time) (*requestBody, *refusedRequest) {
	if r.ContentLength == 0 {
		return &requestBody{whole: true}, nil
	}
	rc := http.NewResponseController(w)
	// Readers without deadlines, as in tests, wait without a bound.
	_ = rc.SetReadDeadline(deadline)
	body, err := newBody(r, i.cfg.MaxBodyBytes)
	if err != nil {
		return nil, badBody(err)
	}
	body.ended = func() { _ = rc.SetReadDeadline(time.Time{}) }
	if body.whole {
		body.ended()
	}
	return body, nil
}

func badBody(err error) *refusedRequest {
	var b *bodyError
	if errors.As(err, &b) {
		return refuse(b.Reason, err.Error())
	}
	return refuse(seamoutcome.Malformed, "the body is shorter than announced")
}
