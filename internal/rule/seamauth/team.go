// Package seamauth checks the tokens of teams that use the administration API.
package seamauth

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net"
	"slices"

	"github.com/VictoriaMetrics/metrics"
)

// Role is what a team may do.
type Role string

// Roles. Each of the others includes Read.
const (
	// Read allows to read documents, status, events and metrics.
	Read Role = "read"
	// Write allows to change documents and labels.
	Write Role = "write"
	// Operate allows to drain nodes and to attest losses.
	Operate Role = "operate"
)

// AllServices in Team.Services stands for every service.
const AllServices = "*"

// Team is one team that uses the API.
type Team struct {
	// Name is the author of the team's changes.
	Name string `json:"name" yaml:"name"`
	// Hash is the SHA-256 of the team's token, in hexadecimal digits.
	Hash string `json:"hash" yaml:"hash"`
	// Roles are what the team may do.
	Roles []Role `json:"roles" yaml:"roles"`
	// Services are the services that the team may touch; "*" stands for all.
	Services []string `json:"services" yaml:"services"`
}

// May reports whether the team has the role.
func (t Team) HasRole(r Role) bool {
	return slices.Contains(t.Roles, r) || r == Read && len(t.Roles) > 0
}

// Touches reports whether the team may touch the service; the empty name stands for none.
func (t Team) CanAccess(service string) bool {
	return service == "" || slices.Contains(t.Services, AllServices) || slices.Contains(t.Services, service)
}

const (
	// tokenBytes is the entropy of a token, in bytes.
	tokenBytes = 32
	// tokenPrefix begins each token, so that scanners for leaked secrets recognize it.
	tokenPrefix = "cardamomseam_"
	// nameLimit is the longest name of a team, in bytes.
	nameLimit = 64
)

// NewToken returns a random token and its hash.
func NewToken() (token, hash string) {
	random := make([]byte, tokenBytes)
	// Read never fails: the program ends if the system has no randomness.
	_, _ = rand.Read(random)
	token = tokenPrefix + base64.RawURLEncoding.EncodeToString(random)
	return token, Hash(token)
}

// Hash returns the SHA-256 of the token, in hexadecimal digits.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Local is the team of every caller of an API without teams.
var LocalTeam = Team{Name: "local", Roles: []Role{Read, Write, Operate}, Services: []string{AllServices}}

// Guard checks tokens.
type Authorizer struct {
	teams   []Team
	hashes  [][]byte
	missing *metrics.Counter
	wrong   *metrics.Counter
	role    *metrics.Counter
	service *metrics.Counter
}

// New returns a guard for an API on the address. Errors are *OpenError and *TeamError.
func New(address string, teams []Team, m *metrics.Set) (*Authorizer, error) {
	if len(teams) == 0 && !loopback(address) {
		return nil, &UnprotectedError{Address: address}
	}
	g := &Authorizer{
		teams:   teams,
		missing: m.NewCounter(`cardamomseam_api_refused_total{reason="missing"}`),
		wrong:   m.NewCounter(`cardamomseam_api_refused_total{reason="wrong"}`),
		role:    m.NewCounter(`cardamomseam_api_refused_total{reason="role"}`),
		service: m.NewCounter(`cardamomseam_api_refused_total{reason="service"}`),
	}
	names := map[string]bool{}
	hashes := map[string]bool{}
	for _, t := range teams {
		hash, err := hex.DecodeString(t.Hash)
		if err != nil || len(hash) != sha256.Size {
			return nil, &TeamConfigError{Team: t.Name, Field: "hash", Allowed: "64 hexadecimal digits"}
		}
		if t.Name == "" || len(t.Name) > nameLimit || names[t.Name] {
			return nil, &TeamConfigError{Team: t.Name, Field: "name", Allowed: "unique and 1 to 64 bytes long"}
		}
		if hashes[string(hash)] {
			return nil, &TeamConfigError{Team: t.Name, Field: "hash", Allowed: "different for each team"}
		}
		if i := slices.IndexFunc(t.Roles, func(r Role) bool { return !slices.Contains(LocalTeam.Roles, r) }); i >= 0 {
			return nil, &TeamConfigError{Team: t.Name, Field: "roles", Allowed: "read, write, operate"}
		}
		names[t.Name] = true
		hashes[string(hash)] = true
		g.hashes = append(g.hashes, hash)
	}
	return g, nil
}

// loopback reports whether the address is reached from this machine only.
func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// Check returns the team of the token if it has the role and may touch the service.
// Errors are *UnauthorizedError and *ForbiddenError; each is counted.
func (g *Authorizer) Authorize(token string, r Role, service string) (Team, error) {
	if len(g.teams) == 0 {
		return LocalTeam, nil
	}
	if token == "" {
		g.missing.Inc()
		return Team{}, &UnauthorizedError{Missing: true}
	}
	t, ok := g.find(token)
	if !ok {
		g.wrong.Inc()
		return Team{}, &UnauthorizedError{}
	}
	if !t.HasRole(r) {
		g.role.Inc()
		return t, &ForbiddenError{Team: t.Name, Role: r}
	}
	if !t.CanAccess(service) {
		g.service.Inc()
		return t, &ForbiddenError{Team: t.Name, Role: r, Service: service}
	}
	return t, nil
}

// find compares the token with every team's, in the same time whichever matches.
func (g *Authorizer) find(token string) (Team, bool) {
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i, hash := range g.hashes {
		equal := subtle.ConstantTimeCompare(sum[:], hash)
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return Team{}, false
	}
	return g.teams[found], true
}

// OpenError says that the API would be open to the network without tokens.
type UnprotectedError struct {
	Address string
}

// Error names the address and what to do.
func (e *UnprotectedError) Error() string {
	return fmt.Sprintf("the administration API on %s would be open to the network: set teams, or listen on a loopback address", e.Address)
}

// TeamError says that the settings of a team are wrong.
type TeamConfigError struct {
	Team string
	// Field is the faulty field and Allowed what it may hold.
	Field, Allowed string
}

// Error names the team, the field and what is allowed.
func (e *TeamConfigError) Error() string {
	return fmt.Sprintf("team %q: %s must be %s", e.Team, e.Field, e.Allowed)
}

// UnauthorizedError says that no team has the token.
type UnauthorizedError struct {
	// Missing says that no token was given.
	Missing bool
}

// Error says whether the token is missing or wrong.
func (e *UnauthorizedError) Error() string {
	if e.Missing {
		return "a token is required"
	}
	return "the token is wrong"
}

// ForbiddenError says that the team may not do this.
type ForbiddenError struct {
	Team string
	Role Role
	// Service is the service that the team may not touch; empty if it lacks the role.
	Service string
}

// Error names the team and what it lacks.
func (e *ForbiddenError) Error() string {
	if e.Service != "" {
		return fmt.Sprintf("team %q may not touch service %q", e.Team, e.Service)
	}
	return fmt.Sprintf("team %q lacks the role %q", e.Team, e.Role)
}
