package seamadmin

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamauth"
	"cardamomseam/internal/rule/seamdiff"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamrulestore"
)

// try evaluates a document and optionally a request against it, without changing anything.
func (s *Server) try(_ context.Context, c call) (any, error) {
	var t seamapi.TryRequest
	if err := decodeBody(c, &t); err != nil {
		return nil, err
	}
	d, err := s.tryDocument(t)
	if err != nil {
		return nil, err
	}
	if _, err := s.authorizer.Authorize(token(c.Request), seamauth.Read, d.Service); err != nil {
		return nil, err
	}
	program, err := seamrule.Compile(d)
	if err != nil {
		return nil, err
	}
	instances := s.Targets.Instances(d.Service)
	result := seamapi.TryResult{Service: d.Service, Warnings: seamrule.Warnings(d, instances)}
	if result.Difference, err = s.difference(d); err != nil {
		return nil, err
	}
	if t.Request == nil {
		return result, nil
	}
	request, err := newTryRequest(*t.Request)
	if err != nil {
		return nil, err
	}
	trial, err := program.Try(request, t.Request.Region, instances)
	if err != nil {
		result.Refusal, err = newRefusal(err)
		return result, err
	}
	result.Trial = &trial
	return result, nil
}

// tryDocument returns the document to evaluate: the one in the request, or the one in force.
func (s *Server) tryDocument(t seamapi.TryRequest) (seamrule.Document, error) {
	if t.Document != "" {
		return seamrule.Parse([]byte(t.Document))
	}
	v, ok := s.RuleSet.Version(t.Service)
	if !ok || v.Deleted {
		return seamrule.Document{}, &seamrulestore.NotFoundError{Service: t.Service}
	}
	return v.Document, nil
}

// difference returns a unified diff from the document in force to d. It fails if d changes an
// immutable field.
func (s *Server) difference(d seamrule.Document) (string, error) {
	v, ok := s.RuleSet.Version(d.Service)
	if !ok {
		return "", nil
	}
	if err := seamrule.ValidateChange(v.Document, d); err != nil {
		return "", err
	}
	if v.Deleted {
		return "", nil
	}
	return seamdiff.Unified("in force", string(seamrule.Format(v.Document)), "tried", string(seamrule.Format(d))), nil
}

func newTryRequest(t seamapi.Request) (*http.Request, error) {
	method := t.Method
	if method == "" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, t.Path, http.NoBody)
	if err != nil {
		return nil, &requestError{Part: "request", Allowed: "a method and a path with its query", Cause: err}
	}
	for name, value := range t.Headers {
		r.Header.Set(name, value)
	}
	return r, nil
}

// newRefusal converts a routing error to the response that the caller would get. Other errors
// are returned unchanged.
func newRefusal(err error) (*seamapi.Refusal, error) {
	var refused interface {
		error
		Status() int
		Reason() string
	}
	if !errors.As(err, &refused) {
		return nil, err
	}
	return &seamapi.Refusal{Status: refused.Status(), Reason: refused.Reason(), Text: refused.Error()}, nil
}
