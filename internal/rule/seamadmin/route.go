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

// call is an API request and the team that sent it.
type call struct {
	*http.Request
	now  time.Time
	team seamauth.Team
}

// pathVariable returns the value of a path variable.
func (c call) pathVariable(name string) string {
	return pathvar.Vars(c.Request)[name]
}

// endpoint handles a call and returns the response body.
type endpoint func(ctx context.Context, c call) (any, error)

// routes returns the routes of the API. The handlers for events and metrics check the token
// themselves; the health check needs none.
func (s *Server) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/v1/rules", Handler: s.readRoute(s.listRules)},
		{Method: http.MethodGet, Path: "/v1/rules/:service", Handler: s.readRoute(s.getRules)},
		{Method: http.MethodPut, Path: "/v1/rules/:service", Handler: s.writeRoute(seamauth.Write, s.putRules)},
		{Method: http.MethodDelete, Path: "/v1/rules/:service", Handler: s.writeRoute(seamauth.Write, s.deleteRules)},
		{Method: http.MethodGet, Path: "/v1/rules/:service/history", Handler: s.readRoute(s.getHistory)},
		{Method: http.MethodPut, Path: "/v1/rules/:service/labels/:instance", Handler: s.writeRoute(seamauth.Write, s.putLabels)},
		{Method: http.MethodDelete, Path: "/v1/rules/:service/labels/:instance", Handler: s.writeRoute(seamauth.Write, s.deleteLabels)},
		{Method: http.MethodPost, Path: "/v1/try", Handler: s.readRoute(s.try)},
		{Method: http.MethodGet, Path: "/v1/revision", Handler: s.readRoute(s.revision)},
		{Method: http.MethodGet, Path: "/v1/status", Handler: s.readRoute(s.status)},
		{Method: http.MethodGet, Path: "/v1/keys", Handler: s.readRoute(s.keys)},
		{Method: http.MethodPut, Path: "/v1/nodes/:node/drain", Handler: s.writeRoute(seamauth.Operate, s.drain)},
		{Method: http.MethodPut, Path: "/v1/cells/:cell/attest", Handler: s.writeRoute(seamauth.Operate, s.attest)},
		{Method: http.MethodGet, Path: "/v1/events", Handler: s.events},
		{Method: http.MethodGet, Path: "/v1/healthy", Handler: s.healthy},
		{Method: http.MethodGet, Path: "/metrics", Handler: s.metrics},
	}
}

// readRoute returns a handler for teams with the role Read.
func (s *Server) readRoute(a endpoint) http.HandlerFunc {
	return s.handle(seamauth.Read, a, func(call, error) {})
}

// writeRoute returns a handler for teams with the role r. Each call is recorded in the audit log.
func (s *Server) writeRoute(r seamauth.Role, a endpoint) http.HandlerFunc {
	return s.handle(r, a, s.audit)
}

func (s *Server) handle(r seamauth.Role, a endpoint, after func(call, error)) http.HandlerFunc {
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
		writeProblem(w, err)
	}
}

// authorize checks that the token grants the role, and access to the service in the path if
// there is one.
func (s *Server) authorize(c call, r seamauth.Role) (seamauth.Team, error) {
	return s.authorizer.Authorize(token(c.Request), r, c.pathVariable("service"))
}

// token returns the bearer token of the request, or an empty string.
func token(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// audit emits an event with the team, the attempted change and its outcome.
func (s *Server) audit(c call, err error) {
	fields := seamevent.Fields{
		"team":   c.team.Name,
		"method": c.Method,
		"path":   c.URL.Path,
		"remote": c.RemoteAddr,
		"status": http.StatusOK,
	}
	if err != nil {
		p := newProblem(err)
		fields["status"] = p.Status
		fields["code"] = p.Code
	}
	s.Events.Emit(c.now, seamevent.AuditWrite, fields)
}

// writeProblem writes the error as a problem response.
func writeProblem(w http.ResponseWriter, err error) {
	p := newProblem(err)
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
		writeProblem(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	s.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
