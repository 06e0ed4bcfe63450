package seamauth_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"cardamomseam/internal/rule/seamauth"
)

func TestAuthorize(t *testing.T) {
	blueToken, blueHash := seamauth.NewToken()
	redToken, redHash := seamauth.NewToken()
	m := metrics.NewSet()
	authorizer, err := seamauth.New("10.0.0.1:80", []seamauth.Team{
		{Name: "blue", Hash: blueHash, Roles: []seamauth.Role{seamauth.Write}, Services: []string{"tally"}},
		{Name: "red", Hash: redHash, Roles: []seamauth.Role{seamauth.Operate}, Services: []string{seamauth.AllServices}},
	}, m)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, token string
		role        seamauth.Role
		service     string
		want        string
	}{
		{"write", blueToken, seamauth.Write, "tally", ""},
		{"write includes read", blueToken, seamauth.Read, "tally", ""},
		{"no service", blueToken, seamauth.Read, "", ""},
		{"all services", redToken, seamauth.Operate, "tally", ""},
		{"missing", "", seamauth.Read, "", "a token is required"},
		{"wrong", blueToken + "x", seamauth.Read, "", "the token is wrong"},
		{"hash instead of token", blueHash, seamauth.Read, "", "the token is wrong"},
		{"other team's service", blueToken, seamauth.Write, "booker", `team "blue" is not allowed to access service "booker"`},
		{"role", redToken, seamauth.Write, "tally", `team "red" lacks the role "write"`},
	}
	for _, tt := range tests {
		_, err := authorizer.Authorize(tt.token, tt.role, tt.service)
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got != tt.want {
			t.Errorf("%s: %q, want %q", tt.name, got, tt.want)
		}
	}
	var text strings.Builder
	m.WritePrometheus(&text)
	for _, line := range []string{
		`cardamomseam_api_refused_total{reason="missing"} 1`,
		`cardamomseam_api_refused_total{reason="wrong"} 2`,
		`cardamomseam_api_refused_total{reason="role"} 1`,
		`cardamomseam_api_refused_total{reason="service"} 1`,
	} {
		if !strings.Contains(text.String(), line) {
			t.Errorf("metric %s is missing in:\n%s", line, text.String())
		}
	}
}

func TestNewRejectsUnprotectedAddress(t *testing.T) {
	for _, address := range []string{"0.0.0.0:80", ":80", "10.1.2.3:80", "[::]:80", "example.org:80", "80"} {
		var unprotected *seamauth.UnprotectedError
		if _, err := seamauth.New(address, nil, metrics.NewSet()); !errors.As(err, &unprotected) {
			t.Errorf("%s: %v", address, err)
		}
	}
	for _, address := range []string{"127.0.0.1:80", "127.9.8.7:0", "[::1]:80", "localhost:80"} {
		authorizer, err := seamauth.New(address, nil, metrics.NewSet())
		if err != nil {
			t.Errorf("%s: %v", address, err)
			continue
		}
		if team, err := authorizer.Authorize("", seamauth.Operate, "tally"); err != nil || team.Name != "local" {
			t.Errorf("%s: %+v, %v", address, team, err)
		}
	}
}

func TestNewRejectsInvalidTeams(t *testing.T) {
	_, hash := seamauth.NewToken()
	_, other := seamauth.NewToken()
	tests := []struct {
		teams []seamauth.Team
		field string
	}{
		{[]seamauth.Team{{Name: "blue", Hash: "1234"}}, "hash"},
		{[]seamauth.Team{{Name: "", Hash: hash}}, "name"},
		{[]seamauth.Team{{Name: "blue", Hash: hash}, {Name: "blue", Hash: other}}, "name"},
		{[]seamauth.Team{{Name: "blue", Hash: hash}, {Name: "red", Hash: strings.ToUpper(hash)}}, "hash"},
		{[]seamauth.Team{{Name: "blue", Hash: hash, Roles: []seamauth.Role{"admin"}}}, "roles"},
	}
	for _, tt := range tests {
		var wrong *seamauth.TeamConfigError
		if _, err := seamauth.New("127.0.0.1:1", tt.teams, metrics.NewSet()); !errors.As(err, &wrong) || wrong.Field != tt.field {
			t.Errorf("%+v: %v", tt.teams, err)
		}
	}
}
