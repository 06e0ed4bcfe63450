package seamscenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cardamomseam/internal/prove/seamcheck"
	"cardamomseam/internal/prove/seamfleet"
	"cardamomseam/internal/rule/seamrule"
)

// rulePollInterval is the interval at which the rules of a node are polled.
const rulePollInterval = 200 * time.Millisecond

// WatchRules polls the rules in force at every live node until the returned function is
// called. It adds a violation if a node's revision of a service decreases, also across a
// restart of the node.
func (s *Scenario) WatchRules(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, x := range s.Fleet.Instances {
		running.Go(func() { s.watchRevisions(ctx, x) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func (s *Scenario) watchRevisions(ctx context.Context, x *seamfleet.Instance) {
	highest := map[string]int64{}
	for Sleep(ctx, rulePollInterval) {
		if !x.Live() {
			continue
		}
		l, err := x.Rules(ctx)
		if err != nil || l.Revision == 0 {
			continue
		}
		for _, item := range l.Rules {
			if item.Revision < highest[item.Service] {
				s.AddViolation(seamcheck.Violation{Kind: seamcheck.RevisionRegression, At: time.Now(), Detail: fmt.Sprintf(
					"node %s had revision %d of service %s in force and now has revision %d", x.Name, highest[item.Service], item.Service, item.Revision)})
			}
			highest[item.Service] = max(highest[item.Service], item.Revision)
		}
	}
}

// CheckRevisionApplied waits until each live node has applied the revision of a service.
// It adds a violation that names the nodes that have not applied it before the timeout.
func (s *Scenario) CheckRevisionApplied(ctx context.Context, service string, revision int64, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		behind := s.nodesBehind(ctx, service, revision)
		if len(behind) == 0 {
			return
		}
		if !Sleep(ctx, rulePollInterval) {
			s.AddViolation(seamcheck.Violation{Kind: seamcheck.NotInForce, At: time.Now(), Detail: fmt.Sprintf(
				"revision %d of service %s is not in force at nodes %v after %s", revision, service, behind, timeout)})
			return
		}
	}
}

func (s *Scenario) nodesBehind(ctx context.Context, service string, revision int64) []string {
	var behind []string
	for _, x := range s.Fleet.Instances {
		if !x.Live() {
			continue
		}
		l, err := x.Rules(ctx)
		found := int64(0)
		for _, item := range l.Rules {
			if item.Service == service {
				found = item.Revision
			}
		}
		if err != nil || found < revision {
			behind = append(behind, x.Name)
		}
	}
	return behind
}

// DocumentVariant returns the document of the plain service with an additional selector
// named after n, so that each change has different content.
func DocumentVariant(n string) seamrule.Document {
	d := PlainDocument()
	d.Selectors = append(d.Selectors, seamrule.Selector{
		Name: "change-" + n, Match: seamrule.Match{Path: "/change-" + n},
	})
	return d
}
