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

// Store is the process of the test store.
type Store struct {
	// Address is the address that nodes connect to. Control is the address for setting faults
	// and reading call counts.
	Address string
	Control string
	Process *Process
	// Location is the store's location in the simulated network.
	Location seamproxy.Location
}

// storeName is the store's name in the simulated network.
const storeName = "store"

func (f *Fleet) startStore() error {
	listen, err := f.ports.allocate()
	if err != nil {
		return err
	}
	control, err := f.ports.allocate()
	if err != nil {
		return err
	}
	region := f.cfg.Regions[0]
	s := &Store{
		Address: listen, Control: control,
		Location: seamproxy.Location{Name: storeName, Domain: region + "-a", Region: region},
	}
	s.Process, err = start(f.Directory, "store", f.programs.Bench, "store",
		"--address", listen, "--control", control, "--seed", strconv.FormatUint(f.cfg.Seed, 10))
	if err != nil {
		return err
	}
	f.cleanups = append(f.cleanups, s.Process.Kill)
	f.Store = s
	if f.Proxy == nil {
		return nil
	}
	if s.Address, err = f.ports.allocate(); err != nil {
		return err
	}
	return f.Proxy.Add(seamproxy.Node{Location: s.Location, Address: s.Address, Listen: listen})
}

// controlTimeout bounds calls to the administration and control addresses of the processes.
const controlTimeout = 3 * time.Second

// SetFaults sets the faults that the store injects.
func (s *Store) SetFaults(ctx context.Context, f seamstandstore.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return s.call(ctx, http.MethodPost, "/fault", body, nil)
}

// CallCounts returns the number of calls that the store has received.
func (s *Store) CallCounts(ctx context.Context) (seamstandstore.Counts, error) {
	var c seamstandstore.Counts
	err := s.call(ctx, http.MethodGet, "/counts", nil, &c)
	return c, err
}

func (s *Store) call(ctx context.Context, method, path string, body []byte, result any) error {
	return call(ctx, method, "http://"+s.Control+path, nil, body, result)
}

// StatusError is a response with an HTTP error status.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error returns the URL, the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s returned status %d: %s", e.URL, e.Status, e.Body)
}

// call makes one HTTP call with JSON bodies and decodes the response into result. It is
// bounded by controlTimeout.
func call(ctx context.Context, method, url string, header http.Header, body []byte, result any) error {
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
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var responseBody bytes.Buffer
	if _, err := responseBody.ReadFrom(response.Body); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return &StatusError{URL: url, Status: response.StatusCode, Body: responseBody.String()}
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(responseBody.Bytes(), result)
}
