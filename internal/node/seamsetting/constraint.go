package seamsetting

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Minimum ratios of the takeover, grant and confirm settings to the heartbeat interval, so that one lost datagram does
// not make any of them expire.
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
	allowed string
	// violated is set if value is not permitted.
	violated bool
}

// settingsViolations returns the constraints that s violates.
func settingsViolations(s Settings) []constraint {
	var all []constraint
	for _, group := range [][]constraint{cellConstraints(s.Cell), addressConstraints(s), drainAndTraceConstraints(s)} {
		all = append(all, group...)
	}
	return violations(all)
}

// violations filters all in place and returns the violated constraints.
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

func drainAndTraceConstraints(s Settings) []constraint {
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

// atLeast requires that value is at least low. limit is the expression for low in the message.
func atLeast(field string, value time.Duration, other, limit string, low time.Duration) constraint {
	return constraint{
		field:    field,
		other:    other,
		value:    value.String(),
		allowed:  fmt.Sprintf("at least %s (%s)", limit, low),
		violated: value < low,
	}
}

// atMost requires that value is at most high. limit is the expression for high in the message.
func atMost(field string, value time.Duration, other, limit string, high time.Duration) constraint {
	return constraint{
		field:    field,
		other:    other,
		value:    value.String(),
		allowed:  fmt.Sprintf("at most %s (%s)", limit, high),
		violated: value > high,
	}
}

// listenAddress is an address that a node listens on.
type listenAddress struct {
	field, address string
}

// distinctAddresses returns a constraint for each pair of addresses: the two must not overlap.
func distinctAddresses(addresses []listenAddress) []constraint {
	var constraints []constraint
	for i, b := range addresses {
		for _, earlier := range addresses[:i] {
			constraints = append(constraints, constraint{
				field:    b.field,
				other:    earlier.field,
				value:    b.address,
				allowed:  fmt.Sprintf("an address that does not overlap %s (%s)", earlier.field, earlier.address),
				violated: overlap(b.address, earlier.address),
			})
		}
	}
	return constraints
}

// addressConstraints requires that the listen addresses do not overlap and that s.Address, to which other nodes
// connect, is not the unspecified address.
func addressConstraints(s Settings) []constraint {
	constraints := distinctAddresses([]listenAddress{
		{"listen", s.Listen},
		{"ingress.listen", s.Ingress.Listen},
		{"announce.listen", s.Announce.Listen},
		{"admin.listen", s.Admin.Listen},
	})
	return append(constraints, constraint{
		field:    "address",
		other:    "listen",
		value:    s.Address,
		allowed:  "an ip:port that other nodes can reach; required if listen binds every interface",
		violated: isUnspecified(s.Address),
	})
}

// overlap reports whether two addresses have the same port and the same IP address, or one of them binds every
// interface, so that they can't be bound at the same time.
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
