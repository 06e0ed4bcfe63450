package seamsession

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/member/seampeer"
)

// stats holds the metrics of a pool.
type stats struct {
	set         *metrics.Set
	self        seampeer.Peer
	opened      *metrics.Counter
	failed      *metrics.Counter
	relayed     *metrics.Counter
	unknownKind *metrics.Counter
}

func newStats(set *metrics.Set, self seampeer.Peer, sessions func() float64) *stats {
	set.NewGauge("cardamomseam_sessions", sessions)
	return &stats{
		set:         set,
		self:        self,
		opened:      set.NewCounter("cardamomseam_session_streams_total"),
		failed:      set.NewCounter("cardamomseam_session_failures_total"),
		relayed:     set.NewCounter("cardamomseam_session_relayed_total"),
		unknownKind: set.NewCounter("cardamomseam_session_strange_total"),
	}
}

// bytes returns the counters of the bytes received from and sent to the peer's region.
func (s *stats) bytes(peer seampeer.Peer) (in, out *metrics.Counter) {
	in = s.set.GetOrCreateCounter(fmt.Sprintf("cardamomseam_session_bytes_total{from=%q,to=%q}", peer.Region, s.self.Region))
	out = s.set.GetOrCreateCounter(fmt.Sprintf("cardamomseam_session_bytes_total{from=%q,to=%q}", s.self.Region, peer.Region))
	return in, out
}
