package seamannounce

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"cardamomseam/internal/member/seamtarget"
	"cardamomseam/internal/platform/seamhttp"
	"cardamomseam/internal/platform/seamwait"
)

const (
	// bodyLimit is the largest announcement in bytes.
	bodyLimit = 256 << 10
	// expireInterval is the time between looks for a lapsed announcement.
	expireInterval = 100 * time.Millisecond
	// Path is where targets announce themselves.
	Path = "/v1/target"
)

// Accepted is the answer to an announcement.
type AnnounceResponse struct {
	// Life is the time in milliseconds within which the target announces itself again.
	TTL int64 `json:"life"`
}

// Fault is the answer to a refused announcement.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Serve takes announcements by HTTP on listen (ip:port) until the clean-up
// function is called, and returns the address.
func Serve(listen string, r *Registry) (address string, cleanup func(), err error) {
	address, stop, err := seamhttp.Serve(seamhttp.Config{
		Listen:       listen,
		MaxBodyBytes: bodyLimit,
		Routes: []rest.Route{
			{Method: http.MethodPut, Path: Path, Handler: r.put},
			{Method: http.MethodDelete, Path: Path + "/:name", Handler: r.remove},
			{Method: http.MethodGet, Path: Path, Handler: r.get},
		},
	})
	if err != nil {
		return "", nil, errors.Wrap(err, "announcement server")
	}
	ctx, cancel := context.WithCancel(context.Background())
	var expiry sync.WaitGroup
	expiry.Go(func() { seamwait.Every(ctx, expireInterval, r.Expire) })
	return address, func() {
		cancel()
		stop()
		expiry.Wait()
	}, nil
}

func (r *Registry) put(w http.ResponseWriter, q *http.Request) {
	var a seamtarget.Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, q.Body, bodyLimit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		httpx.WriteJson(w, http.StatusBadRequest, ErrorResponse{Error: err.Error()})
		return
	}
	err := r.Announce(time.Now(), a)
	var other *OtherTargetError
	switch {
	case errors.As(err, &other):
		httpx.WriteJson(w, http.StatusConflict, ErrorResponse{Error: err.Error()})
	case err != nil:
		httpx.WriteJson(w, http.StatusBadRequest, ErrorResponse{Error: err.Error()})
	default:
		httpx.WriteJson(w, http.StatusOK, AnnounceResponse{TTL: r.life.Milliseconds()})
	}
}

func (r *Registry) remove(w http.ResponseWriter, q *http.Request) {
	var path struct {
		Name string `path:"name"`
	}
	if err := httpx.ParsePath(q, &path); err != nil {
		httpx.WriteJson(w, http.StatusBadRequest, ErrorResponse{Error: err.Error()})
		return
	}
	r.Withdraw(time.Now(), path.Name)
	w.WriteHeader(http.StatusNoContent)
}

func (r *Registry) get(w http.ResponseWriter, _ *http.Request) {
	a, ok := r.Current()
	if !ok {
		httpx.WriteJson(w, http.StatusNotFound, ErrorResponse{Error: "no target is announced"})
		return
	}
	httpx.WriteJson(w, http.StatusOK, a)
}
