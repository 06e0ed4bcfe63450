package seamdedup_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomseam/internal/own/seamclock"
	"cardamomseam/internal/route/seamdedup"
)

var visit = seamdedup.ID{1}

func at(d time.Duration) seamclock.Instant {
	return seamclock.Instant{Mono: time.Hour + d, Wall: time.Hour + d}
}

func TestDuplicateIsRecognizedUntilSlackAfterDeadline(t *testing.T) {
	l := seamdedup.New(0)
	if v := l.Register(at(0), visit, 1, time.Second); v != seamdedup.Admitted {
		t.Fatalf("first attempt: verdict %d", v)
	}
	if !l.Start(at(0), visit, 1) {
		t.Fatal("first attempt was not started")
	}
	if v := l.Register(at(time.Second+seamdedup.Retention-time.Millisecond), visit, 2, time.Second); v != seamdedup.Duplicate {
		t.Errorf("second attempt before the slack is over: verdict %d", v)
	}
	if v := l.Register(at(3*time.Second+seamdedup.Retention), visit, 3, time.Second); v != seamdedup.Admitted {
		t.Errorf("attempt long after: verdict %d", v)
	}
}

func TestWithdrawnRequestIsNotForgottenWithItsFirstAttempt(t *testing.T) {
	l := seamdedup.New(0)
	l.Register(at(0), visit, 1, time.Second)
	l.Withdraw(visit, 1)
	l.Register(at(4*time.Second), visit, 2, time.Minute)
	l.Start(at(4*time.Second), visit, 2)
	if v := l.Register(at(10*time.Second), visit, 3, time.Second); v != seamdedup.Duplicate {
		t.Errorf("verdict %d after the first attempt's record was due", v)
	}
}

func TestExpiredAttemptIsNotStarted(t *testing.T) {
	l := seamdedup.New(0)
	l.Register(at(0), visit, 1, time.Second)
	if l.Start(at(time.Second), visit, 1) {
		t.Error("started at its deadline")
	}
	if s := l.Void(at(time.Second), visit, 1, 0); s != seamdedup.Voided {
		t.Errorf("state %s of an attempt that expired", s)
	}
}

func TestVoid(t *testing.T) {
	const left = time.Second
	for _, tt := range []struct {
		name  string
		steps func(l *seamdedup.Table)
		left  time.Duration
		want  seamdedup.State
		// arrives says that attempt 1 arrives after the void, and starts that it may start then.
		arrives, starts bool
	}{
		{"before arrival", func(*seamdedup.Table) {}, left, seamdedup.Voided, true, false},
		{"while waiting", func(l *seamdedup.Table) { l.Register(at(0), visit, 1, left) }, left, seamdedup.Voided, false, false},
		{"after start", func(l *seamdedup.Table) { l.Register(at(0), visit, 1, left); l.Start(at(0), visit, 1) }, left, seamdedup.Ran, false, false},
		{"after another attempt ran", func(l *seamdedup.Table) { l.Register(at(0), visit, 2, left); l.Start(at(4*time.Second), visit, 2) }, left, seamdedup.Ran, true, false},
		{"after a start without bytes", func(l *seamdedup.Table) {
			l.Register(at(0), visit, 1, left)
			l.Start(at(0), visit, 1)
			l.UndoStart(visit, 1)
		}, left, seamdedup.Voided, false, false},
		{"too late", func(*seamdedup.Table) {}, -seamdedup.Retention - time.Second, seamdedup.Unknown, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := seamdedup.New(0)
			tt.steps(l)
			if got := l.Void(at(0), visit, 1, tt.left); got != tt.want {
				t.Errorf("state %s, want %s", got, tt.want)
			}
			if tt.arrives {
				l.Register(at(0), visit, 1, left)
			}
			if got := l.Start(at(0), visit, 1); got != tt.starts {
				t.Errorf("start after the void: %t, want %t", got, tt.starts)
			}
		})
	}
}

func TestFullLedgerForgetsNothing(t *testing.T) {
	l := seamdedup.New(2)
	l.Register(at(0), seamdedup.ID{1}, 1, time.Second)
	l.Register(at(0), seamdedup.ID{2}, 2, time.Second)
	if v := l.Register(at(0), seamdedup.ID{3}, 3, time.Second); v != seamdedup.Full {
		t.Errorf("verdict %d in a full ledger", v)
	}
	if s := l.Void(at(0), seamdedup.ID{4}, 4, time.Second); s != seamdedup.Unknown {
		t.Errorf("void in a full ledger: %s", s)
	}
	if v := l.Register(at(0), seamdedup.ID{1}, 5, time.Second); v != seamdedup.Duplicate {
		t.Errorf("verdict %d for a request in the ledger", v)
	}
}

// TestRandomSteps checks that no request starts twice within its deadline and
// none starts after it was said to be voided.
func TestRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := seamdedup.New(rapid.IntRange(1, 8).Draw(t, "limit"))
		now := time.Duration(0)
		started := map[seamdedup.ID]time.Duration{}
		arrived, voided := map[uint64]bool{}, map[uint64]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			id := seamdedup.ID{rapid.ByteRange(0, 2).Draw(t, "id")}
			attempt := uint64(id[0])*10 + rapid.Uint64Range(1, 3).Draw(t, "attempt")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if !arrived[attempt] {
					l.Register(at(now), id, attempt, time.Second)
				}
				arrived[attempt] = true
			case 1:
				if l.Start(at(now), id, attempt) {
					if last, ok := started[id]; ok && now-last < seamdedup.Retention {
						t.Fatalf("request %v started twice, at %v and %v", id, last, now)
					}
					if voided[attempt] {
						t.Fatalf("attempt %d started after it was voided", attempt)
					}
					started[id] = now
				}
			case 2:
				l.Withdraw(id, attempt)
			case 3:
				if l.Void(at(now), id, attempt, time.Hour) == seamdedup.Voided {
					voided[attempt] = true
				}
			}
		}
	})
}
