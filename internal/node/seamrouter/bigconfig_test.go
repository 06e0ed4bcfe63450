package seamrouter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cardamomseam/internal/platform/seamstore"
	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/rule/seamroutes"
	"cardamomseam/internal/stand/seamstandkv"
)

const (
	// inForceBound is the time within which an acknowledged configuration is in force at each node.
	inForceBound = 3 * time.Second
	// crowdedLink is what a full link leaves for the calls of a node to the store, in bytes per second.
	crowdedLink = 100 << 10
	// maxDocumentBytes is the size of the largest value that the store accepts.
	maxDocumentBytes = 1 << 20
)

// linkStore is the fleet's store behind a node's own link.
type linkStore struct {
	*seamstandkv.Store
	// bytesPerSecond is the capacity of the link; 0 means that it is unlimited.
	bytesPerSecond atomic.Int64
}

// List implements seamstore.Store.
func (s *linkStore) List(ctx context.Context, p seamstore.Priority, prefix string) ([]seamstore.Entry, int64, error) {
	entries, revision, err := s.Store.List(ctx, p, prefix)
	size := 0
	for _, e := range entries {
		size += len(e.Value)
	}
	s.transfer(ctx, size)
	return entries, revision, err
}

// Watch implements seamstore.Store.
func (s *linkStore) Watch(ctx context.Context, prefix string, from int64, f func([]seamstore.Change)) error {
	return s.Store.Watch(ctx, prefix, from, func(changes []seamstore.Change) {
		size := 0
		for _, c := range changes {
			size += len(c.Value)
		}
		s.transfer(ctx, size)
		f(changes)
	})
}

// transfer waits for as long as the link takes to carry size bytes.
func (s *linkStore) transfer(ctx context.Context, size int) {
	if rate := s.bytesPerSecond.Load(); rate > 0 {
		seamwait.For(ctx, time.Duration(size)*time.Second/time.Duration(rate))
	}
}

// writeManyRoutes writes routes that make up a document of nearly size bytes, and returns a path of the last one.
func (f *fleet) writeManyRoutes(revision int64, size int) string {
	f.t.Helper()
	d := f.routes(revision)
	path := ""
	for i, length := 0, len(f.encodeRoutes(d)); ; i++ {
		r := plainRoute(fmt.Sprintf("/r%d-%05d/", revision, i))
		encoded, err := json.Marshal(r)
		if err != nil {
			f.t.Fatal(err)
		}
		if length += len(encoded) + len(","); length > size {
			f.store.Put(routesKey, f.encodeRoutes(d))
			return path
		}
		d.Routes = append(d.Routes, r)
		path = r.Prefix + "x"
	}
}

func (f *fleet) encodeRoutes(d seamroutes.Document) []byte {
	f.t.Helper()
	value, err := json.Marshal(d)
	if err != nil {
		f.t.Fatal(err)
	}
	return value
}

// newReaderFleet starts nodes of one failure domain. Only the links between the store and the nodes that read it for the others
// have room.
func newReaderFleet(t *testing.T, nodes int) *fleet {
	t.Helper()
	f := newFleet(t)
	for i := range nodes {
		f.addWith(fmt.Sprintf("n%d", i), plainService, &linkStore{Store: f.store})
	}
	f.await("two readers of the store", func() bool {
		readers := 0
		for _, n := range f.nodes {
			if n.State(time.Now()).Feed.Source == "store" {
				readers++
			}
		}
		return readers == 2
	})
	for _, n := range f.nodes {
		if n.State(time.Now()).Feed.Source != "store" {
			n.store.(*linkStore).bytesPerSecond.Store(crowdedLink)
		}
	}
	return f
}

// checkInForce fails the test unless each node serves the path within inForceBound of the given time.
func (f *fleet) checkInForce(since time.Time, path string) {
	f.t.Helper()
	for _, n := range f.nodes {
		for {
			res, err := f.send(n, http.MethodGet, path, "")
			if err == nil && res.status == http.StatusOK {
				break
			}
			if elapsed := time.Since(since); elapsed > inForceBound {
				f.t.Errorf("%s: a route is not in force %v after its acknowledgement: status %d, %v", n.settings.Name, elapsed.Round(time.Millisecond), res.status, err)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func TestLargeConfigurationIsInForceAtNodesThatDontReadTheStore(t *testing.T) {
	for _, size := range []int{64 << 10, maxDocumentBytes} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			f := newReaderFleet(t, 6)
			path := f.writeManyRoutes(2, size)
			f.checkInForce(time.Now(), path)
		})
	}
}

func TestBodyIsLimitedByTheRoutesInEffect(t *testing.T) {
	f := newFleet(t, plainService)
	n := f.nodes[0]
	f.await("routes", f.servesEverywhere)
	upload := func(size int64) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+n.settings.Ingress+"/book/x", io.LimitReader(zeros{}, size))
		if err != nil {
			t.Fatal(err)
		}
		r.Host, r.ContentLength = "visits.example", size
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0 // refused while the body was sent
		}
		res.Body.Close()
		return res.StatusCode
	}
	for i, limit := range []int64{40 << 20, 1 << 10} {
		d := f.routes(int64(i) + 2)
		d.Limits.MaxBodyBytes = limit
		f.store.Put(routesKey, f.encodeRoutes(d))
		f.await("the routes", func() bool { return n.State(time.Now()).Routes == d.Revision })
		if got := upload(limit); got != http.StatusOK {
			t.Errorf("limit %d: a body of that size got %d", limit, got)
		}
		if got := upload(limit + 1); got == http.StatusOK {
			t.Errorf("limit %d: a larger body was accepted", limit)
		}
	}
}

// zeros reads zeros without an end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
