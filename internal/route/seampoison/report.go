package seampoison

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	wire "cardamomseam/internal/route/seampoisonwire"
)

// Suspicion is what one node has seen of one request.
type Suspicion struct {
	Key Key
	// Crashes are the incarnations that crashed while they ran the request, and Cleared those whose crashes no longer count.
	Crashes, Cleared []Incarnation
}

// Report is what one node has seen of all requests that it suspects or has cleared, in a fixed order.
type Report []Suspicion

func newReport(own map[Key]*facts) Report {
	r := make(Report, 0, len(own))
	for k, f := range own {
		r = append(r, Suspicion{Key: k, Crashes: slices.Sorted(maps.Keys(f.crashes)), Cleared: slices.Sorted(maps.Keys(f.cleared))})
	}
	slices.SortFunc(r, func(x, y Suspicion) int {
		return cmp.Or(cmp.Compare(x.Key.Service, y.Key.Service), cmp.Compare(x.Key.Head, y.Key.Head), cmp.Compare(x.Key.Body, y.Key.Body))
	})
	return r
}

// Encode returns the report as bytes; equal reports give equal bytes. An empty report gives none.
func (r Report) Encode() ([]byte, error) {
	w := &wire.Report{}
	for _, s := range r {
		w.Suspicions = append(w.Suspicions, &wire.Suspicion{
			Service: s.Key.Service, Head: s.Key.Head, Body: s.Key.Body, Crashes: toNumbers(s.Crashes), Cleared: toNumbers(s.Cleared),
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(w)
}

// DecodeReport decodes a report.
func DecodeReport(b []byte) (Report, error) {
	w := new(wire.Report)
	if err := proto.Unmarshal(b, w); err != nil {
		return nil, err
	}
	var r Report
	for _, s := range w.GetSuspicions() {
		r = append(r, Suspicion{
			Key:     Key{s.GetService(), Fingerprint{Head: s.GetHead(), Body: s.GetBody()}},
			Crashes: toIncarnations(s.GetCrashes()), Cleared: toIncarnations(s.GetCleared()),
		})
	}
	return r, nil
}

func toNumbers(incarnations []Incarnation) []uint64 {
	var numbers []uint64
	for _, i := range incarnations {
		numbers = append(numbers, uint64(i))
	}
	return numbers
}

func toIncarnations(numbers []uint64) []Incarnation {
	var incarnations []Incarnation
	for _, n := range numbers {
		incarnations = append(incarnations, Incarnation(n))
	}
	return incarnations
}
