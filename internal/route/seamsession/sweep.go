package seamsession

import (
	"context"
	"time"

	"cardamomseam/internal/platform/seamwait"
)

// reserve makes room for one session, closing the one that was idle longest if need be.
func (p *Pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taking()+p.pending >= p.cfg.MaxSessions {
		s := p.longestIdle(time.Now())
		if s == nil {
			return &PoolFullError{At: p.self}
		}
		p.dropRouteLocked(s)
		s.touch(time.Now())
		s.retire()
	}
	p.pending++
	return nil
}

func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending--
}

// taking returns the number of sessions that take new streams.
func (p *Pool) taking() int {
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
		if d := s.idle(now); d > longest && s.usable() {
			found, longest = s, d
		}
	}
	return found
}

// sweep closes sessions that are idle, and those that are too old once their streams ended.
func (p *Pool) sweep(ctx context.Context) {
	seamwait.Every(ctx, max(min(p.cfg.IdleTimeout/4, time.Second), time.Millisecond), p.sweepOnce)
}

func (p *Pool) sweepOnce(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		go s.closeSpare(now.Add(-spareTime))
		idle := s.idle(now)
		switch {
		case s.leaving.Load():
			if idle > lingerTime {
				p.removeLocked(s)
				go s.end()
			}
		case idle > p.cfg.IdleTimeout || now.Sub(s.start) > p.cfg.MaxAge || s.skewed(now):
			p.dropRouteLocked(s)
			s.touch(now)
			s.retire()
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
		s.end()
	}
}
