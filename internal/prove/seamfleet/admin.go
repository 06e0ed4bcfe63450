package seamfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamrule"
)

const (
	readyTimeout      = 60 * time.Second
	readyPollInterval = 100 * time.Millisecond
)

// PutRule writes a rule document through the node's administration API.
func (i *Instance) PutRule(ctx context.Context, d seamrule.Document) (seamapi.ChangeResult, error) {
	var r seamapi.ChangeResult
	body, err := json.Marshal(d)
	if err != nil {
		return r, err
	}
	err = call(ctx, http.MethodPut, "http://"+i.Admin+"/v1/rules/"+d.Service, nil, body, &r)
	return r, err
}

// PutRuleAtRevision writes a rule document if its revision still equals expect.
// writer identifies the change.
func (i *Instance) PutRuleAtRevision(ctx context.Context, d seamrule.Document, expect int64, writer string) (seamapi.ChangeResult, error) {
	var r seamapi.ChangeResult
	body, err := json.Marshal(d)
	if err != nil {
		return r, err
	}
	header := http.Header{}
	header.Set("If-Match", strconv.FormatInt(expect, 10))
	header.Set(seamapi.WriterHeader, writer)
	err = call(ctx, http.MethodPut, "http://"+i.Admin+"/v1/rules/"+d.Service, header, body, &r)
	return r, err
}

// Rule returns a service's rule document.
func (i *Instance) Rule(ctx context.Context, service string) (seamapi.RuleResponse, error) {
	var p seamapi.RuleResponse
	err := call(ctx, http.MethodGet, "http://"+i.Admin+"/v1/rules/"+service, nil, nil, &p)
	return p, err
}

// Rules returns the rules in force at the node.
func (i *Instance) Rules(ctx context.Context) (seamapi.RuleList, error) {
	var l seamapi.RuleList
	err := call(ctx, http.MethodGet, "http://"+i.Admin+"/v1/rules", nil, nil, &l)
	return l, err
}

// RuleHistory returns the recorded changes of a service's rule document.
func (i *Instance) RuleHistory(ctx context.Context, service string) (seamapi.History, error) {
	var h seamapi.History
	err := call(ctx, http.MethodGet, "http://"+i.Admin+"/v1/rules/"+service+"/history", nil, nil, &h)
	return h, err
}

// Status returns the node's status report.
func (i *Instance) Status(ctx context.Context) (seamapi.StatusReport, error) {
	var s seamapi.StatusReport
	err := call(ctx, http.MethodGet, "http://"+i.Admin+"/v1/status", nil, nil, &s)
	return s, err
}

// PutRule writes a rule document through the first live node that accepts it.
// It retries until readyTimeout.
func (f *Fleet) PutRule(ctx context.Context, d seamrule.Document) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var lastErr error
	for {
		for _, x := range f.Instances {
			if !x.Live() {
				continue
			}
			_, err := x.PutRule(ctx, d)
			if err == nil {
				return nil
			}
			lastErr = err
		}
		if !seamwait.For(ctx, readyPollInterval) {
			return errors.Wrapf(lastErr, "write rule of service %s", d.Service)
		}
	}
}

// WaitServing waits until every available node serves keys of every region for each service.
func (f *Fleet) WaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range f.cfg.Services {
		for {
			err := f.checkServing(ctx, d)
			if err == nil {
				break
			}
			if !seamwait.For(ctx, readyPollInterval) {
				return errors.Wrapf(err, "service %s is not served by every node after %s", d.Service, readyTimeout)
			}
		}
	}
	return nil
}

// Coordinators returns the names of the coordinators and backups of all cells, as reported
// by the first live node that responds.
func (f *Fleet) Coordinators(ctx context.Context) (coordinators, backups []string, err error) {
	var lastErr error
	for _, x := range f.Instances {
		if !x.Live() {
			continue
		}
		s, err := x.Status(ctx)
		if err != nil {
			lastErr = err
			continue
		}
		for _, c := range s.Cells {
			coordinators = append(coordinators, c.Coordinator)
			backups = append(backups, c.Backup)
		}
		return coordinators, backups, nil
	}
	return nil, nil, errors.Wrap(lastErr, "no live node reported its cells")
}

// KeyName returns the n-th key whose home is the region.
func KeyName(region string, n int) string {
	return fmt.Sprintf("%s-%04d", region, n)
}
