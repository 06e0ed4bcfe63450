package seamsetting

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Numbers of heartbeats that must fit into a lease, so that one lost datagram ends nothing.
const (
	minHeartbeatsPerTakeover = 3
	minHeartbeatsPerGrant    = 2
	minHeartbeatsPerConfirm  = 2
)

// clash is one condition between fields.
type constraint struct {
	// field is the path of the field to blame.
	field string
	// other is the path of the field that it clashes with.
	other string
	// value is what the field says.
	value string
	// allowed says what the other fields leave to it.
	allowed string
	violated  bool
}

// clashes returns the conditions between fields that s does not meet.
func settingsViolations(s Settings) []constraint {
	var found []constraint
	for _, list := range [][]constraint{cellConstraints(s.Cell), addressConstraints(s), otherConstraints(s)} {
		found = append(found, list...)
	}
	return violations(found)
}

// broken returns the conditions that are not met.
func violations(all []constraint) []constraint {
	return slices.DeleteFunc(all, func(c constraint) bool { return !c.violated })
}

func cellConstraints(c Cell) []constraint {
	return []constraint{
		atLeast("cell.takeover", c.Takeover, "cell.heartbeat", "3 x cell.heartbeat", minHeartbeatsPerTakeover*c.Heartbeat),
		atLeast("cell.grant", c.Grant, "cell.heartbeat", "2 x cell.heartbeat", minHeartbeatsPerGrant*c.Heartbeat),
		atLeast("cell.confirm", c.Confirm, "cell.heartbeat", "2 x cell.heartbeat", minHeartbeatsPerConfirm*c.Heartbeat),
		atMost("cell.grant", c.Grant, "cell.takeover", "cell.takeover - cell.margin", c.Takeover-c.Margin),
		atLeast("cell.horizon", c.Horizon, "cell.takeover", "10 x cell.takeover", 10*c.Takeover),
		{
			field:   "cell.min",
			other:   "cell.max",
			value:   fmt.Sprint(c.Min),
			allowed: fmt.Sprintf("at most cell.max / 2 (%d), so that the parts of a split cell stay", c.Max/2),
			violated:  c.Min > c.Max/2,
		},
	}
}

func otherConstraints(s Settings) []constraint {
	return []constraint{
		atMost("drain.grace", s.Drain.Grace, "drain.limit", "drain.limit", s.Drain.Limit),
		{
			field:   "trace.endpoint",
			other:   "trace.batcher",
			value:   s.Trace.Endpoint,
			allowed: "ip:port with a literal IP, because trace.batcher is " + s.Trace.Batcher,
			violated:  s.Trace.Endpoint != "" && s.Trace.Batcher != "file" && !isAddress(s.Trace.Endpoint),
		},
	}
}

func atLeast(field string, value time.Duration, other, name string, low time.Duration) constraint {
	return constraint{
		field:   field,
		other:   other,
		value:   value.String(),
		allowed: fmt.Sprintf("at least %s (%s)", name, low),
		violated:  value < low,
	}
}

func atMost(field string, value time.Duration, other, name string, high time.Duration) constraint {
	return constraint{
		field:   field,
		other:   other,
		value:   value.String(),
		allowed: fmt.Sprintf("at most %s (%s)", name, high),
		violated:  value > high,
	}
}

// boundAddress is an address that a node listens on.
type listenAddress struct {
	field, address string
}

// overlaps returns one condition for each pair of addresses.
func distinctAddresses(bound []listenAddress) []constraint {
	var found []constraint
	for i, b := range bound {
		for _, earlier := range bound[:i] {
			found = append(found, constraint{
				field:   b.field,
				other:   earlier.field,
				value:   b.address,
				allowed: fmt.Sprintf("an address that does not overlap %s (%s)", earlier.field, earlier.address),
				violated:  overlap(b.address, earlier.address),
			})
		}
	}
	return found
}

// addressClashes finds addresses bound twice and an address that others cannot reach.
func addressConstraints(s Settings) []constraint {
	found := distinctAddresses([]listenAddress{
		{"listen", s.Listen},
		{"ingress.listen", s.Ingress.Listen},
		{"announce.listen", s.Announce.Listen},
		{"admin.listen", s.Admin.Listen},
	})
	return append(found, constraint{
		field:   "address",
		other:   "listen",
		value:   s.Address,
		allowed: "an ip:port that other nodes can reach; it is needed if listen binds every interface",
		violated:  isUnspecified(s.Address),
	})
}

// overlap reports whether two addresses cannot both be bound.
func overlap(first, second string) bool {
	a, errA := netip.ParseAddrPort(first)
	b, errB := netip.ParseAddrPort(second)
	if errA != nil || errB != nil || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func isUnspecified(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsUnspecified()
}
