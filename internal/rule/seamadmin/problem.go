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

// translations turn errors into problems; the first that knows the error is taken.
var translations = []func(err error) *seamapi.Problem{
	translate(func(e seamrule.FieldErrors) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusUnprocessableEntity, Code: seamapi.CodeInvalid, Faults: e,
			Next: "Nothing was changed. Correct the named fields and try again.",
		}
	}),
	translate(func(e *seamrulestore.ConflictError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusConflict, Code: seamapi.CodeConflict,
			Next: fmt.Sprintf("Nothing was changed. Merge your change into revision %d and write it with --expect %d.", e.Found, e.Found),
			Conflict: &seamapi.Conflict{
				Expect: e.Expect, Found: e.Found, Author: e.Author, Theirs: e.Theirs, Yours: e.Yours, Difference: e.Diff,
			},
		}
	}),
	translate(func(*seamrulestore.NotFoundError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusNotFound, Code: seamapi.CodeNotFound,
			Next: "List the services with `cardamomseam get`.",
		}
	}),
	translate(func(e *seamrulestore.UnavailableError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusServiceUnavailable, Code: seamapi.CodeUnavailable,
			Next: fmt.Sprintf("What is in force stays. Try again in %s; `cardamomseam status` shows whether the store is reachable.", e.RetryAfter),
		}
	}),
	translate(func(e *seamrulestore.UnknownError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusServiceUnavailable, Code: seamapi.CodeUnknown, Writer: e.Writer,
			Next: fmt.Sprintf("Repeat the same change with --writer %s: it is never recorded twice.", e.Writer),
		}
	}),
	translate(func(e *seamrulestore.StaleError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusServiceUnavailable, Code: seamapi.CodeStale,
			Next: fmt.Sprintf("What is in force stays. The store has lost writes or answers from an old copy: check it. To record what you want in place of the lost version, use --expect %d.", e.Active),
		}
	}),
	translate(func(*seamauth.UnauthorizedError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusUnauthorized, Code: seamapi.CodeUnauthorized,
			Next: "Give your team's token by --token or in CARDAMOMSEAM_TOKEN.",
		}
	}),
	translate(func(*seamauth.ForbiddenError) seamapi.Problem {
		return seamapi.Problem{
			Status: http.StatusForbidden, Code: seamapi.CodeForbidden,
			Next: "Ask the operators of the node to extend your team's roles or services.",
		}
	}),
	translate(func(e *requestError) seamapi.Problem {
		return seamapi.Problem{Status: http.StatusBadRequest, Code: seamapi.CodeInvalid, Next: "Correct the request; docs/api.md describes it."}
	}),
	translate(func(e nextError) seamapi.Problem {
		return seamapi.Problem{Status: e.Status(), Code: codeOf(e.Status()), Next: e.Next()}
	}),
	translate(func(e statusError) seamapi.Problem {
		return seamapi.Problem{Status: e.Status(), Code: codeOf(e.Status())}
	}),
}

// statusError is an error that chooses the status of the answer.
type statusError interface {
	error
	Status() int
}

// nextError is a statusError that says what to do.
type nextError interface {
	statusError
	Next() string
}

// translate makes a translation from a function on one type of error.
func translate[E error](f func(E) seamapi.Problem) func(error) *seamapi.Problem {
	return func(err error) *seamapi.Problem {
		var e E
		if !errors.As(err, &e) {
			return nil
		}
		p := f(e)
		return &p
	}
}

// problem returns the body that answers with the error.
func problem(err error) *seamapi.Problem {
	for _, t := range translations {
		if p := t(err); p != nil {
			p.Text = err.Error()
			return p
		}
	}
	return &seamapi.Problem{Status: http.StatusInternalServerError, Code: seamapi.CodeInternal, Text: err.Error()}
}

// codes are the codes of problems that are known by their status only.
var codes = map[int]string{
	http.StatusBadRequest:         seamapi.CodeInvalid,
	http.StatusForbidden:          seamapi.CodeForbidden,
	http.StatusNotFound:           seamapi.CodeNotFound,
	http.StatusConflict:           seamapi.CodeConflict,
	http.StatusServiceUnavailable: seamapi.CodeUnavailable,
}

func codeOf(status int) string {
	if code, ok := codes[status]; ok {
		return code
	}
	return seamapi.CodeInternal
}

// retryAfter returns the value of the Retry-After header, in whole seconds, or the empty text.
func retryAfter(err error) string {
	var e *seamrulestore.UnavailableError
	if !errors.As(err, &e) {
		return ""
	}
	return strconv.Itoa(max(1, int(math.Ceil(e.RetryAfter.Seconds()))))
}

// requestError says that a request to the API is malformed.
type requestError struct {
	// Part is the part of the request, and Allowed what it may hold.
	Part, Allowed string
	Cause         error
}

// Error names the part and what is allowed.
func (e *requestError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s must be %s: %v", e.Part, e.Allowed, e.Cause)
	}
	return fmt.Sprintf("%s must be %s", e.Part, e.Allowed)
}

// Unwrap returns the cause.
func (e *requestError) Unwrap() error { return e.Cause }
