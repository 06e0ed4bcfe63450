package seamadmin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamrulestore"
)

// maxWriterBytes limits the length of a change's idempotency key, which the API calls the writer.
const maxWriterBytes = 64

func (s *Server) listRules(_ context.Context, c call) (any, error) {
	b := s.RuleSet.Bundle()
	list := seamapi.RuleList{Revision: b.Revision, Rules: []seamapi.RuleSummary{}}
	for _, v := range b.Versions {
		if v.Deleted || !c.team.CanAccess(v.Service) {
			continue
		}
		list.Rules = append(list.Rules, seamapi.RuleSummary{
			Service: v.Service, Revision: v.Revision, Keyed: v.Document.Keyed != nil, Selectors: len(v.Document.Selectors),
		})
	}
	return list, nil
}

// getRules returns the rules of a service from the store. If the store is unreachable or stale,
// it returns the rules in force at this node.
func (s *Server) getRules(ctx context.Context, c call) (any, error) {
	service := c.pathVariable("service")
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	record, err := s.RuleStore.Read(ctx, service)
	var unavailable *seamrulestore.UnavailableError
	var stale *seamrulestore.StaleError
	if errors.As(err, &unavailable) || errors.As(err, &stale) {
		return s.rulesInForce(service, err)
	}
	if err != nil {
		return nil, err
	}
	if record.Deleted {
		return nil, &seamrulestore.NotFoundError{Service: service}
	}
	last := record.Changes[len(record.Changes)-1]
	return seamapi.RuleResponse{
		Service:  service,
		Revision: record.Revision,
		Document: record.Document,
		Text:     string(seamrule.Format(record.Document)),
		Author:   last.Author,
		Time:     &last.Time,
		Source:   seamapi.SourceStore,
	}, nil
}

// rulesInForce returns the rules of a service that are in force at this node, or err if there are none.
func (s *Server) rulesInForce(service string, err error) (any, error) {
	v, ok := s.RuleSet.Version(service)
	if !ok || v.Deleted {
		return nil, err
	}
	return seamapi.RuleResponse{
		Service:  service,
		Revision: v.Revision,
		Document: v.Document,
		Text:     string(seamrule.Format(v.Document)),
		Source:   seamapi.SourceMemory,
	}, nil
}

func (s *Server) putRules(ctx context.Context, c call) (any, error) {
	text, err := readBody(c)
	if err != nil {
		return nil, err
	}
	d, err := seamrule.Parse(text)
	if err != nil {
		return nil, err
	}
	if service := c.pathVariable("service"); d.Service != service {
		return nil, seamrule.FieldErrors{{Field: "service", Value: d.Service, Allowed: "the service in the path, " + service}}
	}
	recorded, err := s.recordChange(ctx, c, func(ctx context.Context, info seamrulestore.ChangeInfo) (seamrulestore.ChangeResult, error) {
		return s.RuleStore.Put(ctx, info, d)
	})
	recorded.Warnings = seamrule.Warnings(d, s.Targets.Instances(d.Service))
	return recorded, err
}

func (s *Server) deleteRules(ctx context.Context, c call) (any, error) {
	return s.recordChange(ctx, c, func(ctx context.Context, info seamrulestore.ChangeInfo) (seamrulestore.ChangeResult, error) {
		return s.RuleStore.Delete(ctx, info, c.pathVariable("service"))
	})
}

func (s *Server) putLabels(ctx context.Context, c call) (any, error) {
	var labels seamapi.LabelsRequest
	if err := decodeBody(c, &labels); err != nil {
		return nil, err
	}
	recorded, err := s.changeLabels(ctx, c, labels.Labels)
	recorded.Warnings = seamrule.LabelWarnings(c.pathVariable("instance"), s.Targets.Instances(c.pathVariable("service")))
	return recorded, err
}

func (s *Server) deleteLabels(ctx context.Context, c call) (any, error) {
	return s.changeLabels(ctx, c, nil)
}

func (s *Server) changeLabels(ctx context.Context, c call, labels map[string]string) (seamapi.ChangeResult, error) {
	return s.recordChange(ctx, c, func(ctx context.Context, info seamrulestore.ChangeInfo) (seamrulestore.ChangeResult, error) {
		return s.RuleStore.SetLabels(ctx, info, c.pathVariable("service"), c.pathVariable("instance"), labels)
	})
}

// recordChange records a change in the store and asks the cells to confirm it.
func (s *Server) recordChange(ctx context.Context, c call, record func(context.Context, seamrulestore.ChangeInfo) (seamrulestore.ChangeResult, error)) (seamapi.ChangeResult, error) {
	info, err := newChangeInfo(c)
	if err != nil {
		return seamapi.ChangeResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.storeTimeout)
	defer cancel()
	r, err := record(ctx, info)
	if err != nil {
		return seamapi.ChangeResult{}, err
	}
	s.Confirmer.RequestConfirmation(c.now, r.Revision)
	return seamapi.ChangeResult{Service: r.Service, Revision: r.Revision, Before: r.Before, Writer: r.Writer}, nil
}

// newChangeInfo returns the time and author of a change, with the expected revision and the idempotency key from
// the request headers.
func newChangeInfo(c call) (seamrulestore.ChangeInfo, error) {
	info := seamrulestore.ChangeInfo{
		Time:   c.now.UTC(),
		Author: c.team.Name,
		Writer: c.Header.Get(seamapi.WriterHeader),
		Expect: seamrulestore.AnyRevision,
	}
	if len(info.Writer) > maxWriterBytes {
		return info, &requestError{Part: seamapi.WriterHeader, Allowed: "at most 64 bytes long"}
	}
	match := strings.Trim(c.Header.Get("If-Match"), `"`)
	if match == "" {
		return info, nil
	}
	expect, err := strconv.ParseInt(match, 10, 64)
	if err != nil || expect < 0 {
		return info, &requestError{Part: "If-Match", Allowed: "a revision, or 0 for a service without a document"}
	}
	info.Expect = expect
	return info, nil
}

func (s *Server) getHistory(ctx context.Context, c call) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, s.storeTimeout)
	defer cancel()
	record, err := s.RuleStore.Read(ctx, c.pathVariable("service"))
	if err != nil {
		return nil, err
	}
	h := seamapi.History{Service: record.Service, Changes: make([]seamapi.Change, 0, len(record.Changes))}
	for _, change := range slices.Backward(record.Changes) {
		h.Changes = append(h.Changes, seamapi.Change(change))
	}
	return h, nil
}

// readBody reads the request body. Bodies longer than maxBodyBytes are an error.
func readBody(c call) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(c.Body, maxBodyBytes+1))
	if err != nil {
		return nil, &requestError{Part: "the body", Allowed: "complete", Cause: err}
	}
	if len(text) > maxBodyBytes {
		return nil, &requestError{Part: "the body", Allowed: "at most 256 KiB long"}
	}
	return text, nil
}

// decodeBody decodes the body as JSON and rejects unknown fields.
func decodeBody(c call, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, c.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return &requestError{Part: "the body", Allowed: "JSON in the documented format", Cause: err}
	}
	return nil
}
