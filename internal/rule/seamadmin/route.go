package seamadmin

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamauth"
)

// call is one authorized request.
type call struct {
	*http.Request
	now  time.Time
	team seamauth.Team
}

// variable returns a variable of the path.
func (c call) variable(name string) string {
	return pathvar.Vars(c.Request)[name]
}

// answer makes the body of the answer to a call.
type answer func(ctx context.Context, c call) (any, error)

// routes returns the routes of the API. Handlers of streams check the token themselves.
func (s *Server) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/v1/rules", Handler: s.read(s.list)},
		{Method: http.MethodGet, Path: "/v1/rules/:service", Handler: s.read(s.get)},
		{Method: http.MethodPut, Path: "/v1/rules/:service", Handler: s.write(seamauth.Write, s.put)},
		{Method: http.MethodDelete, Path: "/v1/rules/:service", Handler: s.write(seamauth.Write, s.remove)},
		{Method: http.MethodGet, Path: "/v1/rules/:service/history", Handler: s.read(s.history)},
		{Method: http.MethodPut, Path: "/v1/rules/:service/labels/:instance", Handler: s.write(seamauth.Write, s.putLabels)},
		{Method: http.MethodDelete, Path: "/v1/rules/:service/labels/:instance", Handler: s.write(seamauth.Write, s.removeLabels)},
		{Method: http.MethodPost, Path: "/v1/try", Handler: s.read(s.try)},
		{Method: http.MethodGet, Path: "/v1/revision", Handler: s.read(s.revision)},
		{Method: http.MethodGet, Path: "/v1/status", Handler: s.read(s.status)},
		{Method: http.MethodGet, Path: "/v1/keys", Handler: s.read(s.keys)},
		{Method: http.MethodPut, Path: "/v1/nodes/:node/drain", Handler: s.write(seamauth.Operate, s.drain)},
		{Method: http.MethodPut, Path: "/v1/cells/:cell/attest", Handler: s.write(seamauth.Operate, s.attest)},
		{Method: http.MethodGet, Path: "/v1/events", Handler: s.events},
		{Method: http.MethodGet, Path: "/v1/healthy", Handler: s.healthy},
		{Method: http.MethodGet, Path: "/metrics", Handler: s.metrics},
	}
}

// read answers calls of teams with the role Read.
func (s *Server) read(a answer) http.HandlerFunc {
	return s.handle(seamauth.Read, a, func(call, error) {})
}

// write answers calls of teams with the role, and audits each.
func (s *Server) write(r seamauth.Role, a answer) http.HandlerFunc {
	return s.handle(r, a, s.audit)
}

func (s *Server) handle(r seamauth.Role, a answer, after func(call, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		s.requests.Inc()
		c := call{Request: request, now: time.Now()}
		var err error
		if c.team, err = s.authorize(c, r); err == nil {
			var body any
			if body, err = a(request.Context(), c); err == nil {
				after(c, nil)
				httpx.WriteJsonCtx(request.Context(), w, http.StatusOK, body)
				return
			}
		}
		after(c, err)
		fail(w, err)
	}
}

// authorize checks the token for the role and for the service of the path, if there is one.
func (s *Server) authorize(c call, r seamauth.Role) (seamauth.Team, error) {
	return s.guard.Authorize(token(c.Request), r, c.variable("service"))
}

// token returns the bearer token of the request, or the empty text.
func token(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// audit records who tried to change what, and the outcome.
func (s *Server) audit(c call, err error) {
	fields := seamevent.Fields{
		"team":   c.team.Name,
		"method": c.Method,
		"path":   c.URL.Path,
		"remote": c.RemoteAddr,
		"status": http.StatusOK,
	}
	if err != nil {
		p := problem(err)
		fields["status"] = p.Status
		fields["code"] = p.Code
	}
	s.Events.Emit(c.now, seamevent.AuditWrite, fields)
}

// fail answers with a problem.
func fail(w http.ResponseWriter, err error) {
	p := problem(err)
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if after := retryAfter(err); after != "" {
		w.Header().Set("Retry-After", after)
	}
	httpx.WriteJson(w, p.Status, p)
}

func (s *Server) healthy(w http.ResponseWriter, _ *http.Request) {
	h := seamapi.Health{Ready: s.RuleSet.Ready(), Revision: s.RuleSet.Revision()}
	status := http.StatusOK
	if !h.Ready {
		status = http.StatusServiceUnavailable
	}
	httpx.WriteJson(w, status, h)
}

func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	if _, err := s.authorize(call{Request: r}, seamauth.Read); err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	s.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
