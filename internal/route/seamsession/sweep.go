package seamsession

import (
	"context"
	"time"

	"cardamomseam/internal/platform/seamwait"
)

// reserve counts a session that is about to be established. If the pool is full, it drains the session that has been
// idle longest, or returns *PoolFullError if all are in use.
func (p *Pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.countUsable()+p.reserved >= p.cfg.MaxSessions {
		s := p.longestIdle(time.Now())
		if s == nil {
			return &PoolFullError{Node: p.self}
		}
		p.removeRouteLocked(s)
		s.markUsed(time.Now())
		s.drain()
	}
	p.reserved++
	return nil
}

func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved--
}

// countUsable returns the number of sessions that accept new streams.
func (p *Pool) countUsable() int {
	n := 0
	for s := range p.sessions {
		if s.usable() {
			n++
		}
	}
	return n
}

func (p *Pool) longestIdle(now time.Time) *session {
	var found *session
	var longest time.Duration
	for s := range p.sessions {
		if d := s.idleTime(now); d > longest && s.usable() {
			found, longest = s, d
		}
	}
	return found
}

// sweep drains sessions that are idle or too old, or for which the clocks have diverged, and closes drained sessions
// once their streams have ended.
func (p *Pool) sweep(ctx context.Context) {
	seamwait.Every(ctx, max(min(p.cfg.IdleTimeout/4, time.Second), time.Millisecond), p.sweepOnce)
}

func (p *Pool) sweepOnce(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		go s.closeReusable(now.Add(-reusableStreamTimeout))
		idle := s.idleTime(now)
		switch {
		case s.draining.Load():
			if idle > drainDelay {
				p.removeLocked(s)
				go s.close()
			}
		case idle > p.cfg.IdleTimeout || now.Sub(s.establishedAt) > p.cfg.MaxAge || s.clockSkewed(now):
			p.removeRouteLocked(s)
			s.markUsed(now)
			s.drain()
		}
	}
}

func (p *Pool) closeAll() {
	p.mu.Lock()
	all := make([]*session, 0, len(p.sessions))
	for s := range p.sessions {
		all = append(all, s)
	}
	p.mu.Unlock()
	for _, s := range all {
		s.close()
	}
}
