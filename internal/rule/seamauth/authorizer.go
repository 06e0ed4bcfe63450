// Package seamauth authenticates teams by token and authorizes their calls to the administration API
// by role and service.
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

// Role names a set of permissions.
type Role string

// The roles. Write and Operate include Read.
const (
	// Read permits reading rule documents, status, events and metrics.
	Read Role = "read"
	// Write permits changing rule documents and instance labels.
	Write Role = "write"
	// Operate permits draining nodes and attesting that instances are lost.
	Operate Role = "operate"
)

// AllServices in Team.Services grants access to every service.
const AllServices = "*"

// Team is a group of API users that share a token, with the token's hash and the permissions.
type Team struct {
	// Name is recorded as the author of the team's changes.
	Name string `json:"name" yaml:"name"`
	// Hash is the SHA-256 of the team's token, in hexadecimal digits.
	Hash string `json:"hash" yaml:"hash"`
	// Roles are the roles granted to the team.
	Roles []Role `json:"roles" yaml:"roles"`
	// Services are the services that the team can access; "*" means all.
	Services []string `json:"services" yaml:"services"`
}

// HasRole reports whether the team has the role. Write and Operate include Read.
func (t Team) HasRole(r Role) bool {
	return slices.Contains(t.Roles, r) || r == Read && len(t.Roles) > 0
}

// CanAccess reports whether the team can access the service. An empty service stands for a call that
// concerns no service, which every team can make.
func (t Team) CanAccess(service string) bool {
	return service == "" || slices.Contains(t.Services, AllServices) || slices.Contains(t.Services, service)
}

const (
	// tokenBytes is the number of random bytes in a token.
	tokenBytes = 32
	// tokenPrefix starts each token, so that secret scanners recognize leaked ones.
	tokenPrefix = "cardamomseam_"
	// maxNameBytes is the maximum length of a team name.
	maxNameBytes = 64
)

// NewToken returns a random token and its hash.
func NewToken() (token, hash string) {
	random := make([]byte, tokenBytes)
	// Read never returns an error: the program crashes if the system's random source fails.
	_, _ = rand.Read(random)
	token = tokenPrefix + base64.RawURLEncoding.EncodeToString(random)
	return token, Hash(token)
}

// Hash returns the SHA-256 of the token, in hexadecimal digits.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// LocalTeam is the team that every call is attributed to if no teams are configured. It has all
// permissions.
var LocalTeam = Team{Name: "local", Roles: []Role{Read, Write, Operate}, Services: []string{AllServices}}

// Authorizer authenticates calls by token and checks the team's roles and services.
type Authorizer struct {
	teams []Team
	// hashes are the decoded token hashes, in the order of teams.
	hashes [][]byte
	// The counters count the refused calls by reason.
	missingToken  *metrics.Counter
	unknownToken  *metrics.Counter
	missingRole   *metrics.Counter
	deniedService *metrics.Counter
}

// New returns an Authorizer for an API that listens on the address. It returns *UnprotectedError if
// there are no teams and the address is not a loopback address, and *TeamConfigError for an invalid team.
func New(address string, teams []Team, m *metrics.Set) (*Authorizer, error) {
	if len(teams) == 0 && !isLoopback(address) {
		return nil, &UnprotectedError{Address: address}
	}
	a := &Authorizer{
		teams:         teams,
		missingToken:  m.NewCounter(`cardamomseam_api_refused_total{reason="missing"}`),
		unknownToken:  m.NewCounter(`cardamomseam_api_refused_total{reason="wrong"}`),
		missingRole:   m.NewCounter(`cardamomseam_api_refused_total{reason="role"}`),
		deniedService: m.NewCounter(`cardamomseam_api_refused_total{reason="service"}`),
	}
	names := map[string]bool{}
	hashes := map[string]bool{}
	for _, t := range teams {
		hash, err := hex.DecodeString(t.Hash)
		if err != nil || len(hash) != sha256.Size {
			return nil, &TeamConfigError{Team: t.Name, Field: "hash", Allowed: "64 hexadecimal digits"}
		}
		if t.Name == "" || len(t.Name) > maxNameBytes || names[t.Name] {
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
		a.hashes = append(a.hashes, hash)
	}
	return a, nil
}

// isLoopback reports whether the address is a loopback address, which only this machine can reach.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// Authorize returns the team of the token if the team has the role and can access the service.
// Errors are *UnauthorizedError and *ForbiddenError; each is counted. With *ForbiddenError it returns the
// team too.
func (a *Authorizer) Authorize(token string, r Role, service string) (Team, error) {
	if len(a.teams) == 0 {
		return LocalTeam, nil
	}
	if token == "" {
		a.missingToken.Inc()
		return Team{}, &UnauthorizedError{Missing: true}
	}
	t, ok := a.teamOf(token)
	if !ok {
		a.unknownToken.Inc()
		return Team{}, &UnauthorizedError{}
	}
	if !t.HasRole(r) {
		a.missingRole.Inc()
		return t, &ForbiddenError{Team: t.Name, Role: r}
	}
	if !t.CanAccess(service) {
		a.deniedService.Inc()
		return t, &ForbiddenError{Team: t.Name, Role: r, Service: service}
	}
	return t, nil
}

// teamOf returns the team of the token. It compares the token with every team's hash in constant time,
// so that the duration does not reveal which hash matches.
func (a *Authorizer) teamOf(token string) (Team, bool) {
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i, hash := range a.hashes {
		equal := subtle.ConstantTimeCompare(sum[:], hash)
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return Team{}, false
	}
	return a.teams[found], true
}

// UnprotectedError reports that the API would be reachable from the network without authentication.
type UnprotectedError struct {
	Address string
}

// Error names the address and how to fix the settings.
func (e *UnprotectedError) Error() string {
	return fmt.Sprintf("administration API on %s would be reachable from the network without authentication: set teams, or listen on a loopback address", e.Address)
}

// TeamConfigError reports an invalid setting of a team.
type TeamConfigError struct {
	Team string
	// Field is the invalid field, and Allowed describes its valid values.
	Field, Allowed string
}

// Error names the team, the field and what is allowed.
func (e *TeamConfigError) Error() string {
	return fmt.Sprintf("team %q: %s must be %s", e.Team, e.Field, e.Allowed)
}

// UnauthorizedError reports a missing token or one that belongs to no team.
type UnauthorizedError struct {
	// Missing means that no token was given.
	Missing bool
}

// Error states whether the token is missing or wrong.
func (e *UnauthorizedError) Error() string {
	if e.Missing {
		return "a token is required"
	}
	return "the token is wrong"
}

// ForbiddenError reports that the team lacks the role or the access to the service.
type ForbiddenError struct {
	Team string
	Role Role
	// Service is the service that the team can't access; empty if it lacks the role.
	Service string
}

// Error names the team and the missing role or service.
func (e *ForbiddenError) Error() string {
	if e.Service != "" {
		return fmt.Sprintf("team %q is not allowed to access service %q", e.Team, e.Service)
	}
	return fmt.Sprintf("team %q lacks the role %q", e.Team, e.Role)
}
