package seambalance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/route/seambalance"
	"cardamomseam/internal/route/seampick"
)

// BenchmarkPick measures one choice by each policy among the targets of a large service, all of which have reported their load.
func BenchmarkPick(b *testing.B) {
	for _, policy := range []seambalance.Policy{seambalance.Utility, seambalance.Even} {
		b.Run(string(policy), func(b *testing.B) { benchmarkPick(b, policy) })
	}
}

func benchmarkPick(b *testing.B, policy seambalance.Policy) {
	const domains, perDomain = 9, 13
	c := seambalance.New(seambalance.Config{Policy: policy}, self, metrics.NewSet())
	var all []seampick.Candidate
	for d := range domains {
		for i := range perDomain {
			n := candidate(fmt.Sprintf("booker-%d-%d", d, i), fmt.Sprint("region-", d%3), fmt.Sprint("domain-", d))
			all = append(all, n)
			complete(c, now, n.Peer, seambalance.Result{
				Reported: true, InFlight: i, Slots: 10, ServiceTime: 300 * time.Millisecond, ClassServiceTime: 280 * time.Millisecond, Class: 3, Served: true,
			})
		}
	}
	q := seambalance.Query{Class: 3, Objective: time.Second, Deadline: 3 * time.Second}
	b.ReportAllocs()
	for b.Loop() {
		c.Pick(now.Add(time.Second), all, q, nil)
	}
}
