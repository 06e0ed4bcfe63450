package seamdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"cardamomseam/internal/prove/seamcaller"
)

const (
	// rate is the number of requests a second.
	rate = 400
	// households is the number of keys in each region.
	households = 200
	// bookShare is the share of calendar requests that are bookings.
	bookShare = 0.4
	// calendarShare is the share of requests for the keyed service.
	calendarShare = 0.6
	// hotPart is the share of requests for the hot key while it is hot.
	hotPart = 0.5
	// requestDeadline is the time that callers allow for a request.
	requestDeadline = 3 * time.Second
)

// traffic is the callers of the demonstration.
type traffic struct {
	client  *seamcaller.Client
	records *seamcaller.Records
	random  *rand.Rand
	// hot is the key that everybody asks for, or empty.
	hot     atomic.Pointer[string]
	running sync.WaitGroup
	cancel  context.CancelFunc
}

// startTraffic sends requests until stop is called, which waits for the answers.
func startTraffic(ctx context.Context, f *fleet, seed uint64) *traffic {
	client, closeClient := seamcaller.NewClient(f.ingresses)
	t := &traffic{
		client:  client,
		records: &seamcaller.Records{},
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
	until, cancel := context.WithCancel(ctx)
	t.cancel = cancel
	t.running.Go(func() {
		defer closeClient()
		t.run(ctx, until)
	})
	return t
}

// run sends batches of requests until the context until ends; ctx outlives them.
func (t *traffic) run(ctx, until context.Context) {
	const batch = 250 * time.Millisecond
	var batches sync.WaitGroup
	for until.Err() == nil {
		started := time.Now()
		requests := t.draw(rate * batch.Seconds())
		batches.Go(func() {
			t.client.Run(ctx, seamcaller.Load{
				Rate:     rate,
				Duration: batch,
				Next:     func(n int) seamcaller.Request { return requests[n%len(requests)] },
				Records:  t.records,
			})
		})
		time.Sleep(time.Until(started.Add(batch)))
	}
	batches.Wait()
}

// draw makes one request more than a batch sends.
func (t *traffic) draw(count float64) []seamcaller.Request {
	requests := make([]seamcaller.Request, int(count)+1)
	for i := range requests {
		requests[i] = t.next()
	}
	return requests
}

func (t *traffic) next() seamcaller.Request {
	id := uuid.Must(uuid.NewRandomFromReader(randomReader{t.random})).String()
	if t.random.Float64() >= calendarShare {
		return seamcaller.Request{ID: id, Kind: seamcaller.Echo, Service: "booker", Size: 2048, Deadline: requestDeadline}
	}
	q := seamcaller.Request{ID: id, Kind: seamcaller.Read, Service: "calendar", Key: t.key(), Deadline: requestDeadline}
	if t.random.Float64() < bookShare {
		q.Kind = seamcaller.Book
	}
	return q
}

func (t *traffic) key() string {
	if hot := t.hot.Load(); hot != nil && t.random.Float64() < hotPart {
		return *hot
	}
	region := regions[t.random.IntN(len(regions))]
	return fmt.Sprintf("%s-%d", region, t.random.IntN(households))
}

func (t *traffic) heat(key string) { t.hot.Store(&key) }

func (t *traffic) stop() []seamcaller.Record {
	t.cancel()
	t.running.Wait()
	return t.records.All()
}

// randomReader reads from a seeded source.
type randomReader struct {
	random *rand.Rand
}

// Read fills p.
func (r randomReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.random.Uint32())
	}
	return len(p), nil
}
