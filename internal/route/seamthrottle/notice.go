// Package seamthrottle bounds the rate of requests to a target by the limit that the target states in its responses.
package seamthrottle

import (
	"math"
	"strconv"
	"strings"
)

// Notice is what a target states about itself in the headers of a response.
type Notice struct {
	// Limited reports whether the target limits its requests to Rate, in requests per second from all nodes together.
	Limited bool
	Rate    float64
	// Leaving reports whether the target is about to stop.
	Leaving bool
	// Invalid is a stated limit that is not a number of requests per second; empty if there is none.
	Invalid string
}

// ParseNotice returns the notice in the values of the headers that state the limit and whether the target is leaving. The
// lowest of several limits applies.
func ParseNotice(limits []string, leaving string) Notice {
	n := Notice{Leaving: strings.TrimSpace(leaving) == leavingValue}
	for _, text := range limits {
		rate, ok := parseRate(text)
		switch {
		case !ok:
			n.Invalid = strconv.Quote(text)
		case !n.Limited || rate < n.Rate:
			n.Limited, n.Rate = true, rate
		}
	}
	return n
}

// leavingValue is the header value of a target that is leaving.
const leavingValue = "1"

// parseRate returns the rate that a decimal number states, and false if it is negative or not finite.
func parseRate(text string) (float64, bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, false
	}
	return rate, true
}
