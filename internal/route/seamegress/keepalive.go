package seamegress

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleMargin is the time by which a connection is given up before its target closes it as idle.
const idleMargin = 300 * time.Millisecond

// idleLimit returns the time for which a connection may rest before it is used again: less than the idle timeout in the
// response's Keep-Alive header, if there is one.
func idleLimit(h http.Header) time.Duration {
	for _, parameter := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 && seconds < int(connIdleTimeout/time.Second) {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return connIdleTimeout
}
