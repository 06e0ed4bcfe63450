package seamsetting

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Numbers of heartbeats that must fit into a lease, so that one lost datagram ends nothing.
const (
	heartbeatsInTakeover = 3
	heartbeatsInGrant    = 2
	heartbeatsInConfirm  = 2
)

// clash is one condition between fields.
type clash struct {
	// field is the path of the field to blame.
	field string
	// other is the path of the field that it clashes with.
	other string
	// value is what the field says.
	value string
	// allowed says what the other fields leave to it.
	allowed string
	broken  bool
}

// clashes returns the conditions between fields that s does not meet.
func clashes(s Settings) []clash {
	var all []clash
	for _, list := range [][]clash{cellClashes(s.Cell), addressClashes(s), otherClashes(s)} {
		all = append(all, list...)
	}
	return broken(all)
}

// broken returns the conditions that are not met.
func broken(all []clash) []clash {
	return slices.DeleteFunc(all, func(c clash) bool { return !c.broken })
}

func cellClashes(c Cell) []clash {
	return []clash{
		atLeast("cell.takeover", c.Takeover, "cell.heartbeat", "3 x cell.heartbeat", heartbeatsInTakeover*c.Heartbeat),
		atLeast("cell.grant", c.Grant, "cell.heartbeat", "2 x cell.heartbeat", heartbeatsInGrant*c.Heartbeat),
		atLeast("cell.confirm", c.Confirm, "cell.heartbeat", "2 x cell.heartbeat", heartbeatsInConfirm*c.Heartbeat),
		atMost("cell.grant", c.Grant, "cell.takeover", "cell.takeover - cell.margin", c.Takeover-c.Margin),
		atLeast("cell.horizon", c.Horizon, "cell.takeover", "10 x cell.takeover", 10*c.Takeover),
		{
			field:   "cell.min",
			other:   "cell.max",
			value:   fmt.Sprint(c.Min),
			allowed: fmt.Sprintf("at most cell.max / 2 (%d), so that the parts of a split cell stay", c.Max/2),
			broken:  c.Min > c.Max/2,
		},
	}
}

func otherClashes(s Settings) []clash {
	return []clash{
		atMost("drain.grace", s.Drain.Grace, "drain.limit", "drain.limit", s.Drain.Limit),
		{
			field:   "trace.endpoint",
			other:   "trace.batcher",
			value:   s.Trace.Endpoint,
			allowed: "ip:port with a literal IP, because trace.batcher is " + s.Trace.Batcher,
			broken:  s.Trace.Endpoint != "" && s.Trace.Batcher != "file" && !isAddress(s.Trace.Endpoint),
		},
	}
}

func atLeast(field string, value time.Duration, other, name string, low time.Duration) clash {
	return clash{
		field:   field,
		other:   other,
		value:   value.String(),
		allowed: fmt.Sprintf("at least %s (%s)", name, low),
		broken:  value < low,
	}
}

func atMost(field string, value time.Duration, other, name string, high time.Duration) clash {
	return clash{
		field:   field,
		other:   other,
		value:   value.String(),
		allowed: fmt.Sprintf("at most %s (%s)", name, high),
		broken:  value > high,
	}
}

// boundAddress is an address that a node listens on.
type boundAddress struct {
	field, address string
}

// overlaps returns one condition for each pair of addresses.
func overlaps(bound []boundAddress) []clash {
	var found []clash
	for i, b := range bound {
		for _, earlier := range bound[:i] {
			found = append(found, clash{
				field:   b.field,
				other:   earlier.field,
				value:   b.address,
				allowed: fmt.Sprintf("an address that does not overlap %s (%s)", earlier.field, earlier.address),
				broken:  overlap(b.address, earlier.address),
			})
		}
	}
	return found
}

// addressClashes finds addresses bound twice and an address that others cannot reach.
func addressClashes(s Settings) []clash {
	found := overlaps([]boundAddress{
		{"listen", s.Listen},
		{"ingress.listen", s.Ingress.Listen},
		{"announce.listen", s.Announce.Listen},
		{"admin.listen", s.Admin.Listen},
	})
	return append(found, clash{
		field:   "address",
		other:   "listen",
		value:   s.Address,
		allowed: "an ip:port that other nodes can reach; it is needed if listen binds every interface",
		broken:  unspecified(s.Address),
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

func unspecified(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsUnspecified()
}
