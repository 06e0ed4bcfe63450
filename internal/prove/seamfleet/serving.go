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
	// probeKeys is the number of keys of each region that are probed.
	probeKeys = 8
	// probeLimit is the number of nodes that are probed at once.
	probeLimit = 12
)

// serving returns an error unless every open node serves the probed keys of a service.
func (f *Fleet) serving(ctx context.Context, d seamrule.Document) error {
	var probes errgroup.Group
	probes.SetLimit(probeLimit)
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
		for n := range probeKeys {
			q := seamcaller.Request{ID: uuid.NewString(), Kind: seamcaller.Echo, Service: d.Service, Size: 64}
			if d.Keyed != nil {
				q.Kind, q.Key = seamcaller.Read, KeyName(region, n)
			}
			if x := c.Send(ctx, q); x.Outcome != seamcaller.Done || x.Status != 200 {
				return errors.Newf("%s %s: %s %d %s", d.Service, q.Key, x.Outcome, x.Status, x.Reason)
			}
		}
	}
	return nil
}

// Evidence gathers the ledgers of all targets, including those of killed ones.
func (f *Fleet) CollectObservations(records []seamcaller.Record) (seamcheck.Observations, error) {
	e := seamcheck.Observations{Records: records, ExitTimes: map[string]time.Time{}}
	files, err := filepath.Glob(filepath.Join(f.Directory, "ledger-*.json"))
	if err != nil {
		return e, err
	}
	for _, name := range files {
		lines, err := readLedger(name)
		if err != nil {
			return e, err
		}
		e.ExecutionLog = append(e.ExecutionLog, lines...)
	}
	for _, x := range f.Instances {
		x.noteEnd()
		x.mu.Lock()
		for name, t := range x.ended {
			e.ExitTimes[name] = t
		}
		x.mu.Unlock()
	}
	e.InvariantEvents = f.Events.InvariantViolations()
	return e, nil
}

// ledgerLine is the longest line of a ledger, in bytes.
const ledgerLine = 8 << 20

func readLedger(name string) ([]seamstandtarget.ExecutionRecord, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var list []seamstandtarget.ExecutionRecord
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, ledgerLine)
	for lines.Scan() {
		var x seamstandtarget.ExecutionRecord
		if json.Unmarshal(lines.Bytes(), &x) == nil { // a killed target may leave half a line
			list = append(list, x)
		}
	}
	return list, errors.Wrap(lines.Err(), name)
}

// ReadBack reads the bookings of all keys that callers booked, through any open node.
// Keys that could not be read within the limit are left out and returned.
func (f *Fleet) ReadBookings(ctx context.Context, records []seamcaller.Record, limit time.Duration) (present map[seamcheck.Key][]string, missing []seamcheck.Key) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c, stop := seamcaller.NewClient(func(seamcaller.Request) []string { return f.Ingresses() })
	defer stop()
	present = map[seamcheck.Key][]string{}
	missing = bookedKeys(records)
	for {
		missing = readKeys(ctx, c, missing, present)
		if len(missing) == 0 || !seamwait.For(ctx, readyPoll) {
			return present, missing
		}
	}
}

// bookedKeys returns the keys that callers booked, each once.
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

// readKeys reads each key once, adds what it found and returns the keys that were not served.
func readKeys(ctx context.Context, c *seamcaller.Client, keys []seamcheck.Key, found map[seamcheck.Key][]string) (missing []seamcheck.Key) {
	for _, k := range keys {
		x := c.Send(ctx, seamcaller.Request{ID: uuid.NewString(), Kind: seamcaller.Read, Service: k.Service, Key: k.Name})
		if x.Outcome == seamcaller.Done && x.Status == 200 {
			found[k] = x.BookingIDs
			continue
		}
		missing = append(missing, k)
	}
	return missing
}
