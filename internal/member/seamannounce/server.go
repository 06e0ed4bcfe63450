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
	// maxBodyBytes limits the size of an announcement.
	maxBodyBytes = 256 << 10
	// expireInterval is the interval between checks for an expired announcement.
	expireInterval = 100 * time.Millisecond
	// Path is the URL path for announcements.
	Path = "/v1/target"
)

// AnnounceResponse is the response to an accepted announcement.
type AnnounceResponse struct {
	// TTL is the time in milliseconds after which the announcement expires unless it is repeated.
	TTL int64 `json:"life"`
}

// ErrorResponse is the response to a failed request.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Serve accepts announcements by HTTP on listen (ip:port) until the clean-up
// function is called. It returns the listen address.
func Serve(listen string, r *Registry) (address string, cleanup func(), err error) {
	address, stop, err := seamhttp.Serve(seamhttp.Config{
		Listen:       listen,
		MaxBodyBytes: maxBodyBytes,
		Routes: []rest.Route{
			{Method: http.MethodPut, Path: Path, Handler: r.put},
			{Method: http.MethodDelete, Path: Path + "/:name", Handler: r.remove},
			{Method: http.MethodGet, Path: Path, Handler: r.get},
		},
	})
	if err != nil {
		return "", nil, errors.Wrap(err, "start announcement server")
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
	decoder := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxBodyBytes))
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
		httpx.WriteJson(w, http.StatusOK, AnnounceResponse{TTL: r.ttl.Milliseconds()})
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
