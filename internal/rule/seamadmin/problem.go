package seamadmin

import (
	"fmt"
	"math"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamauth"
	"cardamomseam/internal/rule/seamrule"
	"cardamomseam/internal/rule/seamrulestore"
)

// translations lists the functions that map errors to problems. The first one that returns a problem applies.
var translations = []func(err error) *seamapi.Problem{
	translation(func(e seamrule.FieldErrors) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusUnprocessableEntity, Code: seamapi.CodeInvalid, Faults: e,
			Next: "Nothing was changed. Correct the named fields and try again.",
		}
	}),
	translation(func(e *seamrulestore.ConflictError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusConflict, Code: seamapi.CodeConflict,
			Next: fmt.Sprintf("Nothing was changed. Merge your change into revision %d and write it with --expect %d.", e.Found, e.Found),
			Conflict: &seamapi.Conflict{
				Expect: e.Expect, Found: e.Found, Author: e.Author, Theirs: e.Theirs, Yours: e.Yours, Difference: e.Diff,
			},
		}
	}),
	translation(func(*seamrulestore.NotFoundError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusNotFound, Code: seamapi.CodeNotFound,
			Next: "List the services with `cardamomseam get`.",
		}
	}),
	translation(func(e *seamrulestore.UnavailableError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusServiceUnavailable, Code: seamapi.CodeUnavailable,
			Next: fmt.Sprintf("The rules in force are unchanged. Try again in %s; `cardamomseam status` shows whether the store is reachable.", e.RetryAfter),
		}
	}),
	translation(func(e *seamrulestore.UnknownError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusServiceUnavailable, Code: seamapi.CodeUnknown, Writer: e.Writer,
			Next: fmt.Sprintf("Retry the same change with --writer %s: it is recorded at most once.", e.Writer),
		}
	}),
	translation(func(e *seamrulestore.StaleError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusServiceUnavailable, Code: seamapi.CodeStale,
			Next: fmt.Sprintf("The rules in force are unchanged. The store has lost writes or is serving a stale copy: check it. To replace the lost version, write your document with --expect %d.", e.Active),
		}
	}),
	translation(func(*seamauth.UnauthorizedError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusUnauthorized, Code: seamapi.CodeUnauthorized,
			Next: "Pass your team's token with --token or in CARDAMOMSEAM_TOKEN.",
		}
	}),
	translation(func(*seamauth.ForbiddenError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusForbidden, Code: seamapi.CodeForbidden,
			Next: "Ask the operators of the node to extend your team's roles or services.",
		}
	}),
	translation(func(e *requestError) seamapi.Problem {
		return seamapi.Problem{Status: http.StatusBadRequest, Code: seamapi.CodeInvalid, Next: "Correct the request; docs/api.md describes the format."}
	}),
	translation(func(e actionableError) seamapi.Problem {
		return seamapi.Problem{Status: e.Status(), Code: codeOf(e.Status()), Next: e.Next()}
	}),
	translation(func(e statusError) seamapi.Problem {
		return seamapi.Problem{Status: e.Status(), Code: codeOf(e.Status())}
	}),
}

// statusError is an error that sets the HTTP status of the response.
type statusError interface {
	error
	Status() int
}

// actionableError is a statusError that tells the user what to do next.
type actionableError interface {
	statusError
	Next() string
}

// translation returns a function that maps errors of type E to problems and returns nil for others.
func translation[E error](f func(E) seamapi.Problem) func(error) *seamapi.Problem {
	return func(err error) *seamapi.Problem {
		var e E
		if !errors.As(err, &e) {
			return nil
		}
		p := f(e)
		return &p
	}
}

// newProblem returns the problem that reports the error in the response body.
func newProblem(err error) *seamapi.Problem {
	for _, t := range translations {
		if p := t(err); p != nil {
			p.Text = err.Error()
			return p
		}
	}
	return &seamapi.Problem{Status: http.StatusInternalServerError, Code: seamapi.CodeInternal, Text: err.Error()}
}

// codesByStatus maps HTTP statuses to problem codes, for errors that only have a status.
var codesByStatus = map[int]string{
	http.StatusBadRequest:         seamapi.CodeInvalid,
	http.StatusForbidden:          seamapi.CodeForbidden,
	http.StatusNotFound:           seamapi.CodeNotFound,
	http.StatusConflict:           seamapi.CodeConflict,
	http.StatusServiceUnavailable: seamapi.CodeUnavailable,
}

func codeOf(status int) string {
	if code, ok := codesByStatus[status]; ok {
		return code
	}
	return seamapi.CodeInternal
}

// retryAfter returns the value of the Retry-After header in whole seconds, or an empty string
// if the error has no retry delay.
func retryAfter(err error) string {
	var e *seamrulestore.UnavailableError
	if !errors.As(err, &e) {
		return ""
	}
	return strconv.Itoa(max(1, int(math.Ceil(e.RetryAfter.Seconds()))))
}

// requestError reports a malformed API request.
type requestError struct {
	// Part names the malformed part of the request. Allowed describes its valid values and completes
	// the phrase "must be".
	Part, Allowed string
	Cause         error
}

// Error names the malformed part and its valid values.
func (e *requestError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s must be %s: %v", e.Part, e.Allowed, e.Cause)
	}
	return fmt.Sprintf("%s must be %s", e.Part, e.Allowed)
}

// Unwrap returns the underlying error.
func (e *requestError) Unwrap() error { return e.Cause }
