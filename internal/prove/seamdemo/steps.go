package seamdemo

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/own/seamcell"
	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/rule/seamclient"
)

const (
	// stepTimeout is the longest time to wait for one condition of a step.
	stepTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
	// slotCount is the number of slots of the keyed service.
	slotCount = 48
)

const calendarRule = `service: calendar
keyed:
  key: header:Seam-Key
  slots: 48
  homes:
    - {region: erie, prefixes: [erie-]}
    - {region: superior, prefixes: [superior-]}
    - {region: michigan, prefixes: [michigan-]}
selectors:
  - name: all
limits: {deadline: 3000, retries: 3}
place: {imbalance: 4, churn: 0.25, unavailable: 0.25}
`

const bookerRule = `service: booker
selectors:
  - name: all
limits: {deadline: 3000, retries: 3}
`

const goldRule = `service: booker
selectors:
  - name: gold
    targets: tier in (gold)
limits: {deadline: 3000, retries: 3}
`

// startFleet starts the first instances, writes the rules and starts the traffic.
func (s *demonstration) startFleet(ctx context.Context) error {
	for _, region := range regions {
		for _, domain := range []string{"a", "b"} {
			if err := s.startDomain(region, domain); err != nil {
				return err
			}
		}
	}
	if err := s.waitFor(ctx, "cells formed", s.cellsFormed); err != nil {
		return err
	}
	for _, rule := range []string{calendarRule, bookerRule} {
		if _, err := s.applyRule(ctx, rule); err != nil {
			return err
		}
	}
	if err := s.waitFor(ctx, "all slots owned", func() bool { return s.ownedSlots() == slotCount }); err != nil {
		return err
	}
	s.printf("three cells formed; %d slots of calendar have an owner in their home region", s.ownedSlots())
	s.printf("to inspect the fleet, run: cardamomseam status --address %s", s.fleet.live()[0].settings.Admin.Listen)
	s.traffic = startTraffic(ctx, s.fleet, s.cfg.Seed)
	return s.waitFor(ctx, "first requests done", func() bool { return len(s.traffic.records.All()) > requestRate/4 })
}

func (s *demonstration) startDomain(region, domain string) error {
	tier := map[string]string{"a": "gold", "b": "silver"}[domain]
	for _, service := range []string{"calendar", "booker"} {
		p := instanceSpec{
			region:  region,
			domain:  domain,
			service: service,
			name:    fmt.Sprintf("%s-%s-%s", region, domain, service),
			labels:  map[string]string{"tier": tier},
		}
		if _, err := s.fleet.start(p); err != nil {
			return err
		}
	}
	return nil
}

// cellsFormed reports whether each node has a role in a cell of at least four nodes.
func (s *demonstration) cellsFormed() bool {
	for _, i := range s.fleet.live() {
		v := i.node.View()
		if v.Role == seamcell.RoleNone || v.Role == seamcell.RoleJoining || len(v.Members) < 4 {
			return false
		}
	}
	return true
}

// applyRule writes a rule through one node, waits until every cell has confirmed it and returns the
// time that this took.
func (s *demonstration) applyRule(ctx context.Context, rule string) (time.Duration, error) {
	started := time.Now()
	client := s.adminClient(s.fleet.live()[0])
	name := serviceOf(rule)
	recorded, err := client.Put(ctx, name, []byte(rule), seamclient.ChangeOptions{})
	if err != nil {
		return 0, errors.Wrapf(err, "rule of %s", name)
	}
	for time.Since(started) < stepTimeout {
		status, err := client.Revision(ctx, recorded.Revision, 0, time.Second)
		if err != nil {
			return 0, err
		}
		if status.Accepted {
			s.printf("rule of %s recorded at revision %d, confirmed by %d cells", name, recorded.Revision, len(status.Cells))
			return time.Since(started), nil
		}
	}
	return 0, errors.Newf("rule of %s was not confirmed within %s", name, stepTimeout)
}

func serviceOf(rule string) string {
	var name string
	_, _ = fmt.Sscanf(rule, "service: %s", &name) // the rules are constants in this file
	return name
}

// ownedSlots returns the number of slots that have an owner and are not moving, in the view of the
// live coordinators.
func (s *demonstration) ownedSlots() int {
	n := 0
	for _, i := range s.fleet.live() {
		v := i.node.View()
		if v.Role != seamcell.RoleCoordinator {
			continue
		}
		for _, x := range v.Slots {
			if !x.Owner.Zero() && !x.Moving {
				n++
			}
		}
	}
	return n
}

// addTarget starts another instance and waits until it owns slots.
func (s *demonstration) addTarget(ctx context.Context) error {
	joined, err := s.fleet.start(instanceSpec{region: "erie", domain: "a", service: "calendar", name: "erie-a-calendar2", labels: map[string]string{"tier": "gold"}})
	if err != nil {
		return err
	}
	if err := s.waitFor(ctx, "slots owned by the new server", func() bool { return s.slotsOwnedBy(joined) > 0 }); err != nil {
		return err
	}
	s.printf("erie-a-calendar2 announced itself and owns %d slots", s.slotsOwnedBy(joined))
	return nil
}

func (s *demonstration) slotsOwnedBy(i *instance) int {
	n := 0
	for _, x := range i.node.View().Slots {
		if x.Owner.Same(i.node.Self()) && !x.Moving {
			n++
		}
	}
	return n
}

// heatKey makes one key hot and waits until slots have moved away from its server.
func (s *demonstration) heatKey(ctx context.Context) error {
	hot, err := s.fleet.find("superior-a-calendar")
	if err != nil {
		return err
	}
	key, err := s.keyOwnedBy(ctx, hot)
	if err != nil {
		return err
	}
	before := s.slotsOwnedBy(hot)
	s.traffic.setHotKey(key)
	s.printf("key %s gets %.0f%% of the keyed requests; its server %s owns %d slots", key, hotKeyFraction*100, hot.name, before)
	if err := s.waitFor(ctx, "moves away from the hot server", func() bool { return s.slotsOwnedBy(hot) < before }); err != nil {
		return err
	}
	s.printf("a hot key cannot be split: %s keeps it and owns %d slots, the others moved away", hot.name, s.slotsOwnedBy(hot))
	return nil
}

// keyOwnedBy returns a key of calendar that the instance owns.
func (s *demonstration) keyOwnedBy(ctx context.Context, i *instance) (string, error) {
	client, closeClient := seamcaller.NewClient(s.fleet.ingresses)
	defer closeClient()
	for n := range keysPerRegion {
		key := fmt.Sprintf("%s-%d", i.settings.Region, n)
		x := client.Send(ctx, seamcaller.Request{ID: "find-" + key, Kind: seamcaller.Read, Service: "calendar", Key: key, Deadline: requestDeadline})
		if x.Outcome == seamcaller.Done && i.matches(x.Server) {
			return key, nil
		}
	}
	return "", errors.Newf("%s owns no key", i.name)
}

// killNode kills an instance without notice and waits until the surviving instance of the region owns
// all its slots.
func (s *demonstration) killNode(ctx context.Context) error {
	lost, err := s.fleet.find("michigan-b-calendar")
	if err != nil {
		return err
	}
	survivor, err := s.fleet.find("michigan-a-calendar")
	if err != nil {
		return err
	}
	ownedBefore := s.slotsOwnedBy(lost)
	started := time.Now()
	s.fleet.kill(lost)
	if err := s.waitFor(ctx, "takeover", func() bool { return s.slotsOwnedBy(survivor) == slotCount/len(regions) }); err != nil {
		return err
	}
	s.summary.Takeover = time.Since(started)
	s.printf("%s was lost; its %d slots are owned by their standbys after %.2f s", lost.name, ownedBefore, s.summary.Takeover.Seconds())
	return nil
}

// changeSelector writes a selector and checks that only matching targets receive requests afterwards.
func (s *demonstration) changeSelector(ctx context.Context) error {
	took, err := s.applyRule(ctx, goldRule)
	if err != nil {
		return err
	}
	s.summary.InForce = took
	client, closeClient := seamcaller.NewClient(s.fleet.ingresses)
	defer closeClient()
	const samples = 30
	for n := range samples {
		x := client.Send(ctx, seamcaller.Request{ID: fmt.Sprintf("gold-%d", n), Kind: seamcaller.Echo, Service: "booker", Size: 64, Deadline: requestDeadline})
		if x.Outcome == seamcaller.Done && !s.isGold(x.Server) {
			return errors.Newf("request went to %s, which the selector excludes", x.Server)
		}
	}
	s.printf("in force everywhere after %.2f s: %d of %d requests went to targets with tier=gold", took.Seconds(), samples, samples)
	return nil
}

func (s *demonstration) isGold(server string) bool {
	for _, i := range s.fleet.live() {
		if i.matches(server) {
			return i.settings.Domain == i.settings.Region+"-a"
		}
	}
	return false
}

// drainNode drains and stops an instance.
func (s *demonstration) drainNode(ctx context.Context) error {
	leaving, err := s.fleet.find("erie-b-calendar")
	if err != nil {
		return err
	}
	ownedBefore := s.slotsOwnedBy(leaving)
	started := time.Now()
	limited, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := leaving.node.Drain(limited); err != nil {
		return err
	}
	s.fleet.stopDrained(leaving)
	s.printf("%s handed over %d slots, completed its requests in flight and stopped in %.2f s", leaving.name, ownedBefore, time.Since(started).Seconds())
	return nil
}

// waitFor polls the condition until it holds, for at most stepTimeout.
func (s *demonstration) waitFor(ctx context.Context, what string, condition func() bool) error {
	deadline := time.Now().Add(stepTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.Newf("%s: condition not met within %s", what, stepTimeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}
