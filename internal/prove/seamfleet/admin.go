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
	readyLimit = 60 * time.Second
	readyPoll  = 100 * time.Millisecond
)

// Put records a document through the node's administration API.
func (i *Instance) PutRule(ctx context.Context, d seamrule.Document) (seamapi.ChangeResult, error) {
	var r seamapi.ChangeResult
	body, err := json.Marshal(d)
	if err != nil {
		return r, err
	}
	err = call(ctx, http.MethodPut, "http://"+i.Admin+"/v1/rules/"+d.Service, nil, body, &r)
	return r, err
}

// PutAt records a document if the revision is still the expected one. writer identifies the change.
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

// Page returns the document of a service.
func (i *Instance) Rule(ctx context.Context, service string) (seamapi.RuleResponse, error) {
	var p seamapi.RuleResponse
	err := call(ctx, http.MethodGet, "http://"+i.Admin+"/v1/rules/"+service, nil, nil, &p)
	return p, err
}

// Listing returns the rules in force at the node.
func (i *Instance) Rules(ctx context.Context) (seamapi.RuleList, error) {
	var l seamapi.RuleList
	err := call(ctx, http.MethodGet, "http://"+i.Admin+"/v1/rules", nil, nil, &l)
	return l, err
}

// History returns the changes of a service's document.
func (i *Instance) RuleHistory(ctx context.Context, service string) (seamapi.History, error) {
	var h seamapi.History
	err := call(ctx, http.MethodGet, "http://"+i.Admin+"/v1/rules/"+service+"/history", nil, nil, &h)
	return h, err
}

// Status returns what the node knows.
func (i *Instance) Status(ctx context.Context) (seamapi.StatusReport, error) {
	var s seamapi.StatusReport
	err := call(ctx, http.MethodGet, "http://"+i.Admin+"/v1/status", nil, nil, &s)
	return s, err
}

// PutRule records a document through the first node that takes it.
func (f *Fleet) PutRule(ctx context.Context, d seamrule.Document) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	var last error
	for {
		for _, x := range f.Instances {
			if !x.Live() {
				continue
			}
			_, err := x.PutRule(ctx, d)
			if err == nil {
				return nil
			}
			last = err
		}
		if !seamwait.For(ctx, readyPoll) {
			return errors.Wrapf(last, "rule of %s", d.Service)
		}
	}
}

// WaitServing waits until each live node serves each region's keys of each service.
func (f *Fleet) WaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, d := range f.cfg.Services {
		for {
			err := f.serving(ctx, d)
			if err == nil {
				break
			}
			if !seamwait.For(ctx, readyPoll) {
				return errors.Wrapf(err, "%s is not served after %s", d.Service, readyLimit)
			}
		}
	}
	return nil
}

// Coordinators returns the names of the coordinators and of the backups of all cells, as one node knows them.
func (f *Fleet) Coordinators(ctx context.Context) (coordinators, backups []string, err error) {
	var last error
	for _, x := range f.Instances {
		if !x.Live() {
			continue
		}
		s, err := x.Status(ctx)
		if err != nil {
			last = err
			continue
		}
		for _, c := range s.Cells {
			coordinators = append(coordinators, c.Coordinator)
			backups = append(backups, c.Backup)
		}
		return coordinators, backups, nil
	}
	return nil, nil, errors.Wrap(last, "no node tells its cells")
}

// KeyName returns the n-th key at home in a region.
func KeyName(region string, n int) string {
	return fmt.Sprintf("%s-%04d", region, n)
}
