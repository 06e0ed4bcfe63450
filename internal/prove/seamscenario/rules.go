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

// rulePoll is the time between two looks at the rules of all nodes.
const rulePoll = 200 * time.Millisecond

// WatchRules looks at the rules in force at every live node until the returned function is
// called, and reports a node whose revision of a service falls, also from one run to the next.
func (s *Scenario) WatchRules(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, x := range s.Fleet.Instances {
		running.Go(func() { s.watchNode(ctx, x) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func (s *Scenario) watchNode(ctx context.Context, x *seamfleet.Instance) {
	highest := map[string]int64{}
	for Sleep(ctx, rulePoll) {
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
					"%s went from revision %d of %s to %d", x.Name, highest[item.Service], item.Service, item.Revision)})
			}
			highest[item.Service] = max(highest[item.Service], item.Revision)
		}
	}
}

// Everywhere waits until each live node has the revision of a service, and reports the
// nodes that don't have it in time.
func (s *Scenario) CheckRevisionApplied(ctx context.Context, service string, revision int64, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		missing := s.behind(ctx, service, revision)
		if len(missing) == 0 {
			return
		}
		if !Sleep(ctx, rulePoll) {
			s.AddViolation(seamcheck.Violation{Kind: seamcheck.NotInForce, At: time.Now(), Detail: fmt.Sprintf(
				"revision %d of %s is not in force at %v after %s", revision, service, missing, limit)})
			return
		}
	}
}

func (s *Scenario) behind(ctx context.Context, service string, revision int64) []string {
	var missing []string
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
			missing = append(missing, x.Name)
		}
	}
	return missing
}

// Variant returns the document of the plain service with a selector that names n, so that
// each change differs from the others.
func DocumentVariant(n string) seamrule.Document {
	d := PlainDocument()
	d.Selectors = append(d.Selectors, seamrule.Selector{
		Name: "change-" + n, Match: seamrule.Match{Path: "/change-" + n},
	})
	return d
}
