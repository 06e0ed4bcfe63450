package seamsetting

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Minimum numbers of heartbeats per lease, so that one lost datagram does not expire it.
const (
	minHeartbeatsPerTakeover = 3
	minHeartbeatsPerGrant    = 2
	minHeartbeatsPerConfirm  = 2
)

// constraint is a condition that relates two fields.
type constraint struct {
	// field is the path of the field that is reported.
	field string
	// other is the path of the field that it depends on.
	other string
	// value is the value of field.
	value string
	// allowed describes the values that the other field permits.
	allowed  string
	violated bool
}

// settingsViolations returns the constraints that s violates.
func settingsViolations(s Settings) []constraint {
	var found []constraint
	for _, list := range [][]constraint{cellConstraints(s.Cell), addressConstraints(s), otherConstraints(s)} {
		found = append(found, list...)
	}
	return violations(found)
}

// violations returns the constraints that are violated.
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
			field:    "cell.min",
			other:    "cell.max",
			value:    fmt.Sprint(c.Min),
			allowed:  fmt.Sprintf("at most cell.max / 2 (%d), so that the halves of a split cell do not merge again", c.Max/2),
			violated: c.Min > c.Max/2,
		},
	}
}

func otherConstraints(s Settings) []constraint {
	return []constraint{
		atMost("drain.grace", s.Drain.Grace, "drain.limit", "drain.limit", s.Drain.Limit),
		{
			field:    "trace.endpoint",
			other:    "trace.batcher",
			value:    s.Trace.Endpoint,
			allowed:  "ip:port with a literal IP, because trace.batcher is " + s.Trace.Batcher,
			violated: s.Trace.Endpoint != "" && s.Trace.Batcher != "file" && !isAddress(s.Trace.Endpoint),
		},
	}
}

func atLeast(field string, value time.Duration, other, name string, low time.Duration) constraint {
	return constraint{
		field:    field,
		other:    other,
		value:    value.String(),
		allowed:  fmt.Sprintf("at least %s (%s)", name, low),
		violated: value < low,
	}
}

func atMost(field string, value time.Duration, other, name string, high time.Duration) constraint {
	return constraint{
		field:    field,
		other:    other,
		value:    value.String(),
		allowed:  fmt.Sprintf("at most %s (%s)", name, high),
		violated: value > high,
	}
}

// listenAddress is an address that a node listens on.
type listenAddress struct {
	field, address string
}

// distinctAddresses returns one constraint per pair of addresses, which must not overlap.
func distinctAddresses(bound []listenAddress) []constraint {
	var found []constraint
	for i, b := range bound {
		for _, earlier := range bound[:i] {
			found = append(found, constraint{
				field:    b.field,
				other:    earlier.field,
				value:    b.address,
				allowed:  fmt.Sprintf("an address that does not overlap %s (%s)", earlier.field, earlier.address),
				violated: overlap(b.address, earlier.address),
			})
		}
	}
	return found
}

// addressConstraints requires that no address is bound twice and that other nodes can reach s.Address.
func addressConstraints(s Settings) []constraint {
	found := distinctAddresses([]listenAddress{
		{"listen", s.Listen},
		{"ingress.listen", s.Ingress.Listen},
		{"announce.listen", s.Announce.Listen},
		{"admin.listen", s.Admin.Listen},
	})
	return append(found, constraint{
		field:    "address",
		other:    "listen",
		value:    s.Address,
		allowed:  "an ip:port that other nodes can reach; it is needed if listen binds every interface",
		violated: isUnspecified(s.Address),
	})
}

// overlap reports whether two addresses can't be bound at the same time.
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
