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
	// patience bounds each wait of a step.
	patience = 30 * time.Second
	// look is the time between looks at the fleet.
	look = 10 * time.Millisecond
	// slots is the number of slots of the keyed service.
	slots = 48
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

// start brings the first instances up, writes the rules and starts the traffic.
func (s *show) start(ctx context.Context) error {
	for _, region := range regions {
		for _, domain := range []string{"a", "b"} {
			if err := s.startDomain(region, domain); err != nil {
				return err
			}
		}
	}
	if err := s.await(ctx, "cells", s.settled); err != nil {
		return err
	}
	for _, rule := range []string{calendarRule, bookerRule} {
		if _, err := s.write(ctx, rule); err != nil {
			return err
		}
	}
	if err := s.await(ctx, "all slots owned", func() bool { return s.owned() == slots }); err != nil {
		return err
	}
	s.say("three cells formed; %d slots of calendar have an owner in their home region", s.owned())
	s.say("look around meanwhile: cardamomseam status --address %s", s.fleet.live()[0].settings.Admin.Listen)
	s.traffic = startTraffic(ctx, s.fleet, s.cfg.Seed)
	return s.await(ctx, "first requests", func() bool { return len(s.traffic.records.All()) > rate/4 })
}

func (s *show) startDomain(region, domain string) error {
	tier := map[string]string{"a": "gold", "b": "silver"}[domain]
	for _, service := range []string{"calendar", "booker"} {
		p := place{
			region:  region,
			domain:  domain,
			service: service,
			name:    fmt.Sprintf("%s-%s-%s", region, domain, service),
			labels:  map[string]string{"tier": tier},
		}
		if _, err := s.fleet.add(p); err != nil {
			return err
		}
	}
	return nil
}

// settled reports whether each node is in a cell of four with a coordinator.
func (s *show) settled() bool {
	for _, i := range s.fleet.live() {
		v := i.node.View()
		if v.Role == seamcell.RoleNone || v.Role == seamcell.RoleJoining || len(v.Members) < 4 {
			return false
		}
	}
	return true
}

// write records a rule at some node and waits until every cell has confirmed it.
func (s *show) write(ctx context.Context, rule string) (time.Duration, error) {
	started := time.Now()
	api := s.api(s.fleet.live()[0])
	name := serviceOf(rule)
	recorded, err := api.Put(ctx, name, []byte(rule), seamclient.ChangeOptions{})
	if err != nil {
		return 0, errors.Wrapf(err, "rule of %s", name)
	}
	for time.Since(started) < patience {
		status, err := api.Revision(ctx, recorded.Revision, 0, time.Second)
		if err != nil {
			return 0, err
		}
		if status.Accepted {
			s.say("rule of %s recorded at revision %d, confirmed by %d cells", name, recorded.Revision, len(status.Cells))
			return time.Since(started), nil
		}
	}
	return 0, errors.Newf("rule of %s was not confirmed within %s", name, patience)
}

func serviceOf(rule string) string {
	var name string
	_, _ = fmt.Sscanf(rule, "service: %s", &name) // the rules are constants of this file
	return name
}

// owned returns the number of slots that a live coordinator knows an owner of.
func (s *show) owned() int {
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

// join adds an instance and waits until it owns slots.
func (s *show) join(ctx context.Context) error {
	joined, err := s.fleet.add(place{region: "erie", domain: "a", service: "calendar", name: "erie-a-calendar2", labels: map[string]string{"tier": "gold"}})
	if err != nil {
		return err
	}
	if err := s.await(ctx, "slots for the new server", func() bool { return s.ownedBy(joined) > 0 }); err != nil {
		return err
	}
	s.say("erie-a-calendar2 announced itself and owns %d slots", s.ownedBy(joined))
	return nil
}

func (s *show) ownedBy(i *instance) int {
	n := 0
	for _, x := range i.node.View().Slots {
		if x.Owner.Same(i.node.Self()) && !x.Moving {
			n++
		}
	}
	return n
}

// heat makes one key hot and waits until other slots left its server.
func (s *show) heat(ctx context.Context) error {
	hot, err := s.fleet.find("superior-a-calendar")
	if err != nil {
		return err
	}
	key, err := s.keyAt(ctx, hot)
	if err != nil {
		return err
	}
	before := s.ownedBy(hot)
	s.traffic.heat(key)
	s.say("%s draws %.0f%% of the keyed requests; its server %s owns %d slots", key, hotPart*100, hot.name, before)
	if err := s.await(ctx, "moves away from the hot server", func() bool { return s.ownedBy(hot) < before }); err != nil {
		return err
	}
	s.say("a hot key cannot be divided: %s keeps it and %d slots, others were moved away", hot.name, s.ownedBy(hot))
	return nil
}

// keyAt returns a key that the instance owns.
func (s *show) keyAt(ctx context.Context, i *instance) (string, error) {
	client, closeClient := seamcaller.NewClient(s.fleet.ingresses)
	defer closeClient()
	for n := range households {
		key := fmt.Sprintf("%s-%d", i.settings.Region, n)
		x := client.Send(ctx, seamcaller.Request{ID: "find-" + key, Kind: seamcaller.Read, Service: "calendar", Key: key, Deadline: requestDeadline})
		if x.Outcome == seamcaller.Done && i.is(x.Server) {
			return key, nil
		}
	}
	return "", errors.Newf("%s owns no key", i.name)
}

// lose ends an instance without notice and waits until its slots are served again.
func (s *show) lose(ctx context.Context) error {
	lost, err := s.fleet.find("michigan-b-calendar")
	if err != nil {
		return err
	}
	witness, err := s.fleet.find("michigan-a-calendar")
	if err != nil {
		return err
	}
	held := s.ownedBy(lost)
	started := time.Now()
	s.fleet.kill(lost)
	if err := s.await(ctx, "takeover", func() bool { return s.ownedBy(witness) == slots/len(regions) }); err != nil {
		return err
	}
	s.summary.Takeover = time.Since(started)
	s.say("%s is gone; its %d slots are owned by their standbys again after %.2f s", lost.name, held, s.summary.Takeover.Seconds())
	return nil
}

// change writes a selector and shows that only matching targets are used then.
func (s *show) change(ctx context.Context) error {
	took, err := s.write(ctx, goldRule)
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
	s.say("in force everywhere after %.2f s: %d of %d requests went to targets with tier=gold", took.Seconds(), samples, samples)
	return nil
}

func (s *show) isGold(server string) bool {
	for _, i := range s.fleet.live() {
		if i.is(server) {
			return i.settings.Domain == i.settings.Region+"-a"
		}
	}
	return false
}

// drain stops an instance as planned.
func (s *show) drain(ctx context.Context) error {
	leaving, err := s.fleet.find("erie-b-calendar")
	if err != nil {
		return err
	}
	held := s.ownedBy(leaving)
	started := time.Now()
	limited, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if err := leaving.node.Drain(limited); err != nil {
		return err
	}
	s.fleet.retire(leaving)
	s.say("%s handed %d slots over, finished what was in flight and stopped in %.2f s", leaving.name, held, time.Since(started).Seconds())
	return nil
}

// await waits until the condition holds.
func (s *show) await(ctx context.Context, what string, condition func() bool) error {
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.Newf("%s: not seen within %s", what, patience)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(look):
		}
	}
	return nil
}
