package seamfeed_test

import (
	"sync"
	"testing"

	"cardamomseam/internal/member/seamfeed"
)

// A subscriber whose latest check is lost waits until its time is up and then refuses the request.
func TestLatestOfChecksThatEndAtOnceIsNotLost(t *testing.T) {
	const checkers, checks = 4, 200_000
	var h seamfeed.Highest
	var checking sync.WaitGroup
	for first := range uint64(checkers) {
		checking.Go(func() {
			for number := first; number < checks; number += checkers {
				h.Record(number)
				if got := h.Load(); got < number {
					t.Errorf("check %d is recorded and the latest is %d", number, got)
					return
				}
			}
		})
	}
	checking.Wait()
}
