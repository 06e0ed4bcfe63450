package seampiece_test

import (
	"fmt"
	"testing"

	"cardamomseam/internal/member/seampiece"
)

// routesDocument returns a document of routes of some 180 bytes each, one of which differs between versions.
func routesDocument(routes, version int) []byte {
	doc := fmt.Appendf(nil, `{"version":"r%d","routes":[`, version)
	for i := range routes {
		timeout := 5000
		if i == version%routes {
			timeout = 1000 + version
		}
		doc = fmt.Appendf(doc, `{"name":"r-%07x","host":"h%d.example","prefix":"/%08x/","kind":"safe","timeout":%d,"objective":600,"retries":"some","priority":2,"service":"s%d","max_attempts":2},`,
			uint32(i)*2654435761>>4, i%7, uint32(i)*2246822519, timeout, i%4)
	}
	return append(doc, `{}]}`...)
}

// BenchmarkVersion reports what a new version of a document costs a node: all of it, or one route that changed.
func BenchmarkVersion(b *testing.B) {
	for _, routes := range []int{1_800, 5_800, 20_000} {
		for name, isFirst := range map[string]bool{"whole": true, "one route": false} {
			b.Run(fmt.Sprintf("%d routes, %s", routes, name), func(b *testing.B) {
				sent, size, digests := 0, 0, 0
				for i := 0; b.Loop(); i++ {
					from, to := seampiece.NewCache(), seampiece.NewCache()
					if !isFirst {
						old := routesDocument(routes, i)
						from.Add("key", old)
						to.Add("key", old)
					}
					doc := routesDocument(routes, i+1)
					m := from.Add("key", doc)
					sent += seampiece.PackedSize(from, to.Missing(m))
					size, digests = len(doc), len(m.Pieces)
				}
				b.ReportMetric(float64(sent)/float64(b.N), "sent-bytes")
				b.ReportMetric(float64(size), "document-bytes")
				b.ReportMetric(float64(digests*16), "digest-bytes")
			})
		}
	}
}

func BenchmarkAdd(b *testing.B) {
	doc := routesDocument(5_800, 1)
	b.SetBytes(int64(len(doc)))
	for b.Loop() {
		seampiece.NewCache().Add("key", doc)
	}
}
