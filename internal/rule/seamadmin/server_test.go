package seamadmin_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/observe/seamevent"
	"cardamomseam/internal/rule/seamadmin"
	"cardamomseam/internal/rule/seamadmintest"
	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamauth"
	"cardamomseam/internal/rule/seamclient"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamstoretest"
)

const tally = "service: tally\nselectors:\n  - name: all\n"

func requireProblem(t *testing.T, err error, status int, code string) seamapi.Problem {
	t.Helper()
	var p *seamapi.Problem
	if !errors.As(err, &p) {
		t.Fatalf("got %v, want a problem", err)
	}
	if p.Status != status || p.Code != code {
		t.Fatalf("got %+v, want %d %s", p, status, code)
	}
	return *p
}

func revision(n int64) *int64 { return &n }

func TestRuleLifecycle(t *testing.T) {
	n := seamadmintest.New(t)
	c := seamclient.Client{Address: n.Address}
	first, err := c.Put(t.Context(), "tally", []byte(tally), seamclient.ChangeOptions{Expect: revision(0)})
	if err != nil {
		t.Fatal(err)
	}
	page, err := c.Get(t.Context(), "tally")
	if err != nil || page.Revision != first.Revision || page.Author != "local" || page.Source != seamapi.SourceStore {
		t.Fatalf("page %+v, %v", page, err)
	}
	_, err = c.Put(t.Context(), "tally", []byte(tally+"limits: {retries: 2}\n"), seamclient.ChangeOptions{Expect: revision(0)})
	p := requireProblem(t, err, http.StatusConflict, seamapi.CodeConflict)
	if p.Conflict.Found != first.Revision || !strings.Contains(p.Conflict.Difference, "+  retries: 2") {
		t.Fatalf("conflict %+v", p.Conflict)
	}
	labelled, err := c.Label(t.Context(), "tally", "n2", map[string]string{"tier": "cold"}, seamclient.ChangeOptions{})
	if err != nil {
		t.Fatal(err)
	}
	if len(labelled.Warnings) > 0 {
		t.Errorf("warnings %+v", labelled.Warnings)
	}
	n.Await(t, labelled.Revision)
	if got := n.RuleSet.Labels("tally", seamrule.Instance{Name: "n2"})["tier"]; got != "cold" {
		t.Errorf("label %q", got)
	}
	unknown, err := c.Label(t.Context(), "tally", "n7", map[string]string{"tier": "cold"}, seamclient.ChangeOptions{})
	if err != nil || len(unknown.Warnings) != 1 || unknown.Warnings[0].Kind != seamrule.WarnUnknownInstance {
		t.Errorf("labels of an unknown instance: %+v, %v", unknown, err)
	}
	if _, err := c.Delete(t.Context(), "tally", seamclient.ChangeOptions{Expect: revision(unknown.Revision)}); err != nil {
		t.Fatal(err)
	}
	_, err = c.Get(t.Context(), "tally")
	requireProblem(t, err, http.StatusNotFound, seamapi.CodeNotFound)
	h, err := c.History(t.Context(), "tally")
	if err != nil || len(h.Changes) != 4 || h.Changes[0].Action != "delete" || h.Changes[3].Revision != first.Revision {
		t.Fatalf("history %+v, %v", h, err)
	}
}

func TestInvalidDocumentListsAllErrors(t *testing.T) {
	n := seamadmintest.New(t)
	c := seamclient.Client{Address: n.Address}
	_, err := c.Put(t.Context(), "tally", []byte("service: tally\nselector: []\nlimits: {retries: many}\n"), seamclient.ChangeOptions{})
	p := requireProblem(t, err, http.StatusUnprocessableEntity, seamapi.CodeInvalid)
	if len(p.Faults) != 3 || p.Faults[0].Field != "selector" || p.Faults[1].Field != "limits.retries" || p.Faults[2].Field != "selectors" {
		t.Fatalf("faults %+v", p.Faults)
	}
	_, err = c.Put(t.Context(), "booker", []byte(tally), seamclient.ChangeOptions{})
	requireProblem(t, err, http.StatusUnprocessableEntity, seamapi.CodeInvalid)
}

func TestStoreOutageRefusesChangesAndServesRulesInForce(t *testing.T) {
	n := seamadmintest.New(t)
	c := seamclient.Client{Address: n.Address}
	r, err := c.Put(t.Context(), "tally", []byte(tally), seamclient.ChangeOptions{})
	if err != nil {
		t.Fatal(err)
	}
	n.Await(t, r.Revision)
	n.Store.SetDown(true)
	_, err = c.Put(t.Context(), "tally", []byte(tally), seamclient.ChangeOptions{})
	requireProblem(t, err, http.StatusServiceUnavailable, seamapi.CodeUnavailable)
	page, err := c.Get(t.Context(), "tally")
	if err != nil || page.Source != seamapi.SourceMemory || page.Revision != r.Revision {
		t.Fatalf("page %+v, %v", page, err)
	}
}

func TestLostResponseRecordsChangeOnce(t *testing.T) {
	n := seamadmintest.New(t)
	lost := 3
	n.Store.InjectFault = func() seamstoretest.WriteFault {
		if lost--; lost >= 0 {
			return seamstoretest.ResponseLost
		}
		return seamstoretest.NoFault
	}
	c := seamclient.Client{Address: n.Address}
	if _, err := c.Put(t.Context(), "tally", []byte(tally), seamclient.ChangeOptions{}); err != nil {
		t.Fatal(err)
	}
	if h, err := c.History(t.Context(), "tally"); err != nil || len(h.Changes) != 1 {
		t.Fatalf("history %+v, %v", h, err)
	}
}

func TestTeamPermissions(t *testing.T) {
	blueToken, blueHash := seamauth.NewToken()
	redToken, redHash := seamauth.NewToken()
	n := seamadmintest.New(t,
		seamauth.Team{Name: "blue", Hash: blueHash, Roles: []seamauth.Role{seamauth.Write, seamauth.Operate}, Services: []string{"tally"}},
		seamauth.Team{Name: "red", Hash: redHash, Roles: []seamauth.Role{seamauth.Operate}, Services: []string{seamauth.AllServices}},
	)
	ctx := t.Context()
	none, blue, red := seamclient.Client{Address: n.Address}, seamclient.Client{Address: n.Address, Token: blueToken}, seamclient.Client{Address: n.Address, Token: redToken}
	wrong := seamclient.Client{Address: n.Address, Token: blueToken + "x"}
	calls := []struct {
		name   string
		err    func() error
		status int
		code   string
	}{
		{"list without token", func() error { _, err := none.List(ctx); return err }, 401, seamapi.CodeUnauthorized},
		{"events without token", func() error { return none.Events(ctx, "", false, nil) }, 401, seamapi.CodeUnauthorized},
		{"wrong token", func() error { _, err := wrong.Status(ctx); return err }, 401, seamapi.CodeUnauthorized},
		{"other team's service", func() error { _, err := blue.Get(ctx, "booker"); return err }, 403, seamapi.CodeForbidden},
		{"other team's service in a dry run", func() error {
			_, err := blue.Try(ctx, seamapi.TryRequest{Document: "service: booker\nselectors: [{name: all}]"})
			return err
		}, 403, seamapi.CodeForbidden},
		{"write without role", func() error { _, err := red.Delete(ctx, "tally", seamclient.ChangeOptions{}); return err }, 403, seamapi.CodeForbidden},
		{"drain of another team's node", func() error { _, err := blue.Drain(ctx, "n2"); return err }, 403, seamapi.CodeForbidden},
		{"drain of an unknown node", func() error { _, err := blue.Drain(ctx, "n7"); return err }, 403, seamapi.CodeForbidden},
		{"drain of an unknown node by a team with access to all services", func() error { _, err := red.Drain(ctx, "n7"); return err }, 404, seamapi.CodeNotFound},
		{"attestation by a team with access to one service", func() error { _, err := blue.Attest(ctx, "erie-1", []string{"n1"}); return err }, 403, seamapi.CodeForbidden},
		{"attestation without instances", func() error { _, err := red.Attest(ctx, "erie-1", nil); return err }, 400, seamapi.CodeInvalid},
	}
	for _, call := range calls {
		t.Run(call.name, func(t *testing.T) { requireProblem(t, call.err(), call.status, call.code) })
	}
	if _, err := blue.Put(ctx, "tally", []byte(tally), seamclient.ChangeOptions{}); err != nil {
		t.Error(err)
	}
	if _, err := blue.Drain(ctx, "n1"); err != nil {
		t.Error(err)
	}
	if _, err := red.Attest(ctx, "erie-1", []string{"n1", "n2"}); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff([]string{"drain n1", "attest erie-1 n1 n2"}, n.Operations()); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
	audited := map[any]int{}
	err := red.Events(ctx, seamevent.AuditWrite, false, func(e seamevent.Event) error {
		audited[e.Fields["status"]]++
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(map[any]int{200.0: 3, 403.0: 4, 404.0: 1, 400.0: 1}, audited); diff != "" {
		t.Errorf("audit events by status (-want +got):\n%s", diff)
	}
}

func TestRevisionWaitsForEveryCell(t *testing.T) {
	n := seamadmintest.New(t)
	n.SetUnreachableCell(true)
	c := seamclient.Client{Address: n.Address}
	r, err := c.Put(t.Context(), "tally", []byte(tally), seamclient.ChangeOptions{})
	if err != nil {
		t.Fatal(err)
	}
	n.Await(t, r.Revision)
	s, err := c.Revision(t.Context(), r.Revision, 1, 100*time.Millisecond)
	if err != nil || s.Accepted {
		t.Fatalf("status %+v, %v", s, err)
	}
	if diff := cmp.Diff([]string{"superior-1"}, s.UnconfirmedCells()); diff != "" {
		t.Fatalf("missing (-want +got):\n%s", diff)
	}
	n.SetUnreachableCell(false)
	if s, err = c.Revision(t.Context(), r.Revision, 0, 5*time.Second); err != nil || !s.Accepted {
		t.Fatalf("status %+v, %v", s, err)
	}
}

func TestTry(t *testing.T) {
	n := seamadmintest.New(t)
	c := seamclient.Client{Address: n.Address}
	document := "service: tally\nselectors:\n  - {name: hot, match: {path: /a}, targets: tier = hot}\n  - {name: none, targets: tier = ice}\n"
	tried, err := c.Try(t.Context(), seamapi.TryRequest{Document: document, Request: &seamapi.Request{Method: "GET", Path: "/a/1"}})
	if err != nil {
		t.Fatal(err)
	}
	if tried.Trial == nil || tried.Trial.Selector != "hot" || len(tried.Trial.Targets) != 1 || tried.Trial.Targets[0] != "n1" {
		t.Errorf("trial %+v", tried.Trial)
	}
	if len(tried.Warnings) != 1 || tried.Warnings[0].Kind != seamrule.WarnNoMatchingInstance || tried.Warnings[0].Selector != "none" {
		t.Errorf("warnings %+v", tried.Warnings)
	}
	_, err = c.Try(t.Context(), seamapi.TryRequest{Service: "booker"})
	requireProblem(t, err, http.StatusNotFound, seamapi.CodeNotFound)
}

func TestFollowEventsUntilServerStops(t *testing.T) {
	n := seamadmintest.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n.Events.Emit(time.Now(), seamevent.StoreDown, nil)
	var names []string
	err := seamclient.Client{Address: n.Address}.Events(ctx, "store.", true, func(e seamevent.Event) error {
		names = append(names, e.Name)
		if len(names) == 2 {
			return io.EOF
		}
		n.Events.Emit(time.Now(), seamevent.RuleApplied, nil)
		n.Events.Emit(time.Now(), seamevent.StoreUp, nil)
		return nil
	})
	if !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{seamevent.StoreDown, seamevent.StoreUp}, names); diff != "" {
		t.Fatalf("events (-want +got):\n%s", diff)
	}
}

func TestKeys(t *testing.T) {
	token, hash := seamauth.NewToken()
	team := seamauth.Team{Name: "blue", Hash: hash, Roles: []seamauth.Role{seamauth.Read}, Services: []string{"tally"}}
	n := seamadmintest.New(t, team)
	c := seamclient.Client{Address: n.Address, Token: token}
	for limit, want := range map[int][]string{1: {"household-7"}, 256: {"household-7", "household-9"}} {
		report, err := c.Keys(t.Context(), limit)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, k := range report.Keys {
			got = append(got, k.Key)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("limit %d (-want +got):\n%s", limit, diff)
		}
	}
	_, err := c.Keys(t.Context(), 257)
	requireProblem(t, err, http.StatusBadRequest, seamapi.CodeInvalid)
	_, err = seamclient.Client{Address: n.Address}.Keys(t.Context(), 1)
	requireProblem(t, err, http.StatusUnauthorized, seamapi.CodeUnauthorized)
}

func TestStart(t *testing.T) {
	var open *seamauth.UnprotectedError
	deps := seamadmin.Dependencies{Metrics: metrics.NewSet(), Events: seamevent.NewStream("n1")}
	if _, _, err := seamadmin.Start(seamadmin.Config{Address: "0.0.0.0:0"}, deps); !errors.As(err, &open) {
		t.Fatalf("got %v", err)
	}
	deps.Metrics = metrics.NewSet()
	address, stop, err := seamadmin.Start(seamadmin.Config{Address: "127.0.0.1:0"}, deps)
	if err != nil {
		t.Fatal(err)
	}
	deps.Events.Emit(time.Now(), seamevent.StoreDown, nil)
	streaming, streamEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(streamEnded)
		_ = seamclient.Client{Address: address.String()}.Events(context.Background(), "", true, func(seamevent.Event) error {
			close(streaming)
			return nil
		})
	}()
	response, err := http.Get("http://" + address.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil || !strings.Contains(string(text), "cardamomseam_api_requests_total") || !strings.Contains(string(text), "process_cpu_seconds_total") {
		t.Fatalf("metrics %s, %v", text, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	select {
	case <-streaming:
	case <-ctx.Done():
		t.Fatal("the event stream delivered no event")
	}
	if err := stop(ctx); err != nil {
		t.Fatalf("stop with an open event stream: %v", err)
	}
	select {
	case <-streamEnded:
	case <-ctx.Done():
		t.Fatal("the event stream did not end after stop")
	}
}

func TestHealthyWithoutRules(t *testing.T) {
	n := seamadmintest.New(t)
	n.RuleSet.RequireRevision(5)
	response, err := http.Get("http://" + n.Address + "/v1/healthy")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var h seamapi.Health
	if err := json.NewDecoder(response.Body).Decode(&h); err != nil || h.Ready || response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%d %+v, %v", response.StatusCode, h, err)
	}
}
