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
	// requestRate is the number of requests per second.
	requestRate = 400
	// keysPerRegion is the number of keys in each region.
	keysPerRegion = 200
	// bookFraction is the fraction of requests to the keyed service that are bookings.
	bookFraction = 0.4
	// keyedFraction is the fraction of requests that go to the keyed service, which is calendar.
	keyedFraction = 0.6
	// hotKeyFraction is the fraction of requests to the keyed service that use the hot key.
	hotKeyFraction = 0.5
	// requestDeadline is the deadline of each request.
	requestDeadline = 3 * time.Second
)

// traffic sends the requests of the demonstration.
type traffic struct {
	client  *seamcaller.Client
	records *seamcaller.Records
	random  *rand.Rand
	// hotKey is the key that gets hotKeyFraction of the keyed requests, or nil.
	hotKey  atomic.Pointer[string]
	running sync.WaitGroup
	cancel  context.CancelFunc
}

// startTraffic sends requests until stop is called, which waits for the responses.
func startTraffic(ctx context.Context, f *fleet, seed uint64) *traffic {
	client, closeClient := seamcaller.NewClient(f.ingresses)
	t := &traffic{
		client:  client,
		records: &seamcaller.Records{},
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
	sendCtx, cancel := context.WithCancel(ctx)
	t.cancel = cancel
	t.running.Go(func() {
		defer closeClient()
		t.run(ctx, sendCtx)
	})
	return t
}

// run sends batches of requests until sendCtx is cancelled. It sends the requests with ctx, so
// that those in flight can complete.
func (t *traffic) run(ctx, sendCtx context.Context) {
	const batch = 250 * time.Millisecond
	var batches sync.WaitGroup
	for sendCtx.Err() == nil {
		started := time.Now()
		requests := t.generate(requestRate * batch.Seconds())
		batches.Go(func() {
			t.client.Run(ctx, seamcaller.Load{
				Rate:     requestRate,
				Duration: batch,
				Next:     func(n int) seamcaller.Request { return requests[n%len(requests)] },
				Records:  t.records,
			})
		})
		time.Sleep(time.Until(started.Add(batch)))
	}
	batches.Wait()
}

// generate returns one request more than count, rounded down, so that there is always at least one.
func (t *traffic) generate(count float64) []seamcaller.Request {
	requests := make([]seamcaller.Request, int(count)+1)
	for i := range requests {
		requests[i] = t.nextRequest()
	}
	return requests
}

func (t *traffic) nextRequest() seamcaller.Request {
	id := uuid.Must(uuid.NewRandomFromReader(randomReader{t.random})).String()
	if t.random.Float64() >= keyedFraction {
		return seamcaller.Request{ID: id, Kind: seamcaller.Echo, Service: "booker", Size: 2048, Deadline: requestDeadline}
	}
	q := seamcaller.Request{ID: id, Kind: seamcaller.Read, Service: "calendar", Key: t.nextKey(), Deadline: requestDeadline}
	if t.random.Float64() < bookFraction {
		q.Kind = seamcaller.Book
	}
	return q
}

func (t *traffic) nextKey() string {
	if hot := t.hotKey.Load(); hot != nil && t.random.Float64() < hotKeyFraction {
		return *hot
	}
	region := regions[t.random.IntN(len(regions))]
	return fmt.Sprintf("%s-%d", region, t.random.IntN(keysPerRegion))
}

func (t *traffic) setHotKey(key string) { t.hotKey.Store(&key) }

func (t *traffic) stop() []seamcaller.Record {
	t.cancel()
	t.running.Wait()
	return t.records.All()
}

// randomReader reads bytes from a seeded random source.
type randomReader struct {
	random *rand.Rand
}

// Read fills p with random bytes.
func (r randomReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.random.Uint32())
	}
	return len(p), nil
}
