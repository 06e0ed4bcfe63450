package seamdatagram

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// kinds maps kinds to their names in metrics.
var kinds = map[Kind]string{kindIdentityRequest: "who", Cell: "cell", Confirm: "confirm"}

// meter counts the bytes of datagrams, including IP and UDP headers, and malformed datagrams.
type meter struct {
	set       *metrics.Set
	malformed *metrics.Counter
	sentBytes map[Kind]*metrics.Counter
	readBytes map[Kind]*metrics.Counter
}

func newMeter(set *metrics.Set) meter {
	m := meter{
		set:       set,
		malformed: set.NewCounter("cardamomseam_datagram_malformed_total"),
		sentBytes: map[Kind]*metrics.Counter{},
		readBytes: map[Kind]*metrics.Counter{},
	}
	for k, name := range kinds {
		m.sentBytes[k] = set.NewCounter(fmt.Sprintf(`cardamomseam_datagram_bytes_total{kind=%q,way="sent"}`, name))
		m.readBytes[k] = set.NewCounter(fmt.Sprintf(`cardamomseam_datagram_bytes_total{kind=%q,way="received"}`, name))
	}
	return m
}

func (m meter) sent(k Kind, size int) {
	if c, ok := m.sentBytes[k]; ok {
		c.Add(size + headerBytes)
	}
}

func (m meter) received(k Kind, size int) {
	if c, ok := m.readBytes[k]; ok {
		c.Add(size + headerBytes)
	}
}
