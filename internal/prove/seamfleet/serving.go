package seamfleet

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"cardamomseam/internal/platform/seamwait"
	"cardamomseam/internal/prove/seamcaller"
	"cardamomseam/internal/prove/seamcheck"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/stand/seamstandtarget"
)

const (
	// probeKeysPerRegion is the number of keys that are probed in each region.
	probeKeysPerRegion = 8
	// maxConcurrentProbes is the number of nodes that are probed at once.
	maxConcurrentProbes = 12
)

// checkServing returns an error unless every node that accepts callers serves the probed
// keys of a service.
func (f *Fleet) checkServing(ctx context.Context, d seamrule.Document) error {
	var probes errgroup.Group
	probes.SetLimit(maxConcurrentProbes)
	for _, node := range f.Ingresses() {
		probes.Go(func() error {
			c, stop := seamcaller.NewClient(func(seamcaller.Request) []string { return []string{node} })
			defer stop()
			return errors.Wrap(f.probe(ctx, c, d), node)
		})
	}
	return probes.Wait()
}

func (f *Fleet) probe(ctx context.Context, c *seamcaller.Client, d seamrule.Document) error {
	for _, region := range f.cfg.Regions {
		for n := range probeKeysPerRegion {
			q := seamcaller.Request{ID: uuid.NewString(), Kind: seamcaller.Echo, Service: d.Service, Size: 64}
			if d.Keyed != nil {
				q.Kind, q.Key = seamcaller.Read, KeyName(region, n)
			}
			if x := c.Send(ctx, q); x.Outcome != seamcaller.Done || x.Status != 200 {
				return errors.Newf("service %s, key %q: outcome %s, status %d, reason %q", d.Service, q.Key, x.Outcome, x.Status, x.Reason)
			}
		}
	}
	return nil
}

// CollectObservations combines the callers' records with the execution logs of all targets,
// including killed ones, and with the invariant violations that nodes reported.
func (f *Fleet) CollectObservations(records []seamcaller.Record) (seamcheck.Observations, error) {
	observations := seamcheck.Observations{Records: records, ExitTimes: map[string]time.Time{}}
	files, err := filepath.Glob(filepath.Join(f.Directory, "ledger-*.json"))
	if err != nil {
		return observations, err
	}
	for _, name := range files {
		lines, err := readExecutionLog(name)
		if err != nil {
			return observations, err
		}
		observations.ExecutionLog = append(observations.ExecutionLog, lines...)
	}
	for _, x := range f.Instances {
		x.recordTargetExit()
		x.mu.Lock()
		for name, t := range x.targetExitTimes {
			observations.ExitTimes[name] = t
		}
		x.mu.Unlock()
	}
	observations.InvariantEvents = f.Events.InvariantViolations()
	return observations, nil
}

// maxLogLineBytes is the maximum length of a line of an execution log.
const maxLogLineBytes = 8 << 20

func readExecutionLog(name string) ([]seamstandtarget.ExecutionRecord, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var list []seamstandtarget.ExecutionRecord
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		var x seamstandtarget.ExecutionRecord
		if json.Unmarshal(lines.Bytes(), &x) == nil { // a killed target may leave a partial line
			list = append(list, x)
		}
	}
	return list, errors.Wrap(lines.Err(), name)
}

// ReadBookings reads the bookings of every key that callers booked, through any node that
// accepts callers. unread holds the keys that could not be read before the timeout.
func (f *Fleet) ReadBookings(ctx context.Context, records []seamcaller.Record, timeout time.Duration) (bookings map[seamcheck.Key][]string, unread []seamcheck.Key) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, stop := seamcaller.NewClient(func(seamcaller.Request) []string { return f.Ingresses() })
	defer stop()
	bookings = map[seamcheck.Key][]string{}
	unread = bookedKeys(records)
	for {
		unread = readKeys(ctx, c, unread, bookings)
		if len(unread) == 0 || !seamwait.For(ctx, readyPollInterval) {
			return bookings, unread
		}
	}
}

// bookedKeys returns the distinct keys that callers booked.
func bookedKeys(records []seamcaller.Record) []seamcheck.Key {
	var list []seamcheck.Key
	seen := map[seamcheck.Key]bool{}
	for _, x := range records {
		k := seamcheck.Key{Service: x.Service, Name: x.Key}
		if x.Kind == seamcaller.Book && x.Key != "" && !seen[k] {
			seen[k] = true
			list = append(list, k)
		}
	}
	return list
}

// readKeys reads each key once, adds the results to bookings and returns the keys that were
// not served.
func readKeys(ctx context.Context, c *seamcaller.Client, keys []seamcheck.Key, bookings map[seamcheck.Key][]string) (unread []seamcheck.Key) {
	for _, k := range keys {
		x := c.Send(ctx, seamcaller.Request{ID: uuid.NewString(), Kind: seamcaller.Read, Service: k.Service, Key: k.Name})
		if x.Outcome == seamcaller.Done && x.Status == 200 {
			bookings[k] = x.BookingIDs
			continue
		}
		unread = append(unread, k)
	}
	return unread
}
