package seamfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cardamomseam/internal/stand/seamproxy"
	"cardamomseam/internal/stand/seamstandstore"
)

// Store is the process of the store.
type Store struct {
	// Address is where nodes reach the store; Control is for faults and counts.
	Address string
	Control string
	Process *Process
	// Place is where the store stands.
	Place seamproxy.Location
}

// storeName names the store as a place of the network.
const storeName = "store"

func (f *Fleet) startStore() error {
	real, err := f.ports.take()
	if err != nil {
		return err
	}
	control, err := f.ports.take()
	if err != nil {
		return err
	}
	region := f.cfg.Regions[0]
	s := &Store{
		Address: real, Control: control,
		Place: seamproxy.Location{Name: storeName, Domain: region + "-a", Region: region},
	}
	s.Process, err = start(f.Directory, "store", f.programs.Bench, "store",
		"--address", real, "--control", control, "--seed", strconv.FormatUint(f.cfg.Seed, 10))
	if err != nil {
		return err
	}
	f.cleanups = append(f.cleanups, s.Process.Kill)
	f.Store = s
	if f.Proxy == nil {
		return nil
	}
	if s.Address, err = f.ports.take(); err != nil {
		return err
	}
	return f.Proxy.Add(seamproxy.Node{Location: s.Place, Address: s.Address, Listen: real})
}

// controlTimeout bounds calls to the control address of a stand-in.
const controlTimeout = 3 * time.Second

// Fault sets the faults of the store.
func (s *Store) SetFaults(ctx context.Context, f seamstandstore.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return s.call(ctx, http.MethodPost, "/fault", body, nil)
}

// Counts returns the calls that the store has counted.
func (s *Store) CallCounts(ctx context.Context) (seamstandstore.Counts, error) {
	var c seamstandstore.Counts
	err := s.call(ctx, http.MethodGet, "/counts", nil, &c)
	return c, err
}

func (s *Store) call(ctx context.Context, method, path string, body []byte, answer any) error {
	return call(ctx, method, "http://"+s.Control+path, nil, body, answer)
}

// AnswerError is an answer whose status is not a success.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error names the address and gives the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.URL, e.Status, e.Body)
}

// call makes one HTTP call with JSON bodies, bounded by controlTimeout.
func call(ctx context.Context, method, url string, header http.Header, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("Content-Type", "application/json")
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	var read bytes.Buffer
	if _, err := read.ReadFrom(a.Body); err != nil {
		return err
	}
	if a.StatusCode >= http.StatusBadRequest {
		return &StatusError{URL: url, Status: a.StatusCode, Body: read.String()}
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(read.Bytes(), answer)
}
