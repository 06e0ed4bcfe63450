package seamcommand

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"cardamomseam/internal/rule/seamapi"
	"cardamomseam/internal/rule/seamclient"
)

// Exit codes of the commands.
const (
	// CodeFailure means a failure that has no specific code.
	CodeFailure = 1
	// CodeUsage means that the command line, a document or a settings file is invalid.
	CodeUsage = 2
	// CodeConflict means that another change was recorded first, or that the cell's state
	// contradicts an attestation.
	CodeConflict = 3
	// CodeNotFound means that the named service, node or cell does not exist.
	CodeNotFound = 4
	// CodeDenied means that the token is missing or invalid, or that the team lacks the permission.
	CodeDenied = 5
	// CodeUnavailable means that the node, the cell or the store could not be reached, or that the
	// outcome is unknown.
	CodeUnavailable = 6
	// CodePending means that a change was recorded but not accepted in time.
	CodePending = 7
)

// ExitError is an error with the exit code of the program.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message of the underlying error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitCode returns the exit code.
func (e *ExitError) ExitCode() int { return e.Code }

// ExitCode returns the exit code for the error of a command, or 0 for nil.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	var e *ExitError
	if errors.As(err, &e) {
		return e.Code
	}
	// The command-line parser sets its own codes, which are replaced here.
	var parser cli.ExitCoder
	if errors.As(err, &parser) {
		return CodeUsage
	}
	return CodeFailure
}

// exitCodesByProblem maps problem codes of the API to exit codes.
var exitCodesByProblem = map[string]int{
	seamapi.CodeInvalid:      CodeUsage,
	seamapi.CodeConflict:     CodeConflict,
	seamapi.CodeNotFound:     CodeNotFound,
	seamapi.CodeUnauthorized: CodeDenied,
	seamapi.CodeForbidden:    CodeDenied,
	seamapi.CodeUnavailable:  CodeUnavailable,
	seamapi.CodeUnknown:      CodeUnavailable,
	seamapi.CodeStale:        CodeUnavailable,
}

// withExitCode wraps an error in an ExitError with the matching code.
func withExitCode(err error) error {
	if err == nil {
		return nil
	}
	var coded *ExitError
	if errors.As(err, &coded) {
		return err
	}
	var p *seamapi.Problem
	if errors.As(err, &p) {
		if code, ok := exitCodesByProblem[p.Code]; ok {
			return &ExitError{Code: code, Err: err}
		}
	}
	var unreachable *seamclient.UnreachableError
	if errors.As(err, &unreachable) {
		return &ExitError{Code: CodeUnavailable, Err: errors.Newf("%v\nCheck --address and whether a node is running there.", err)}
	}
	return &ExitError{Code: CodeFailure, Err: err}
}

// UsageError wraps an error in the command line, or in a file that it names, with CodeUsage.
func UsageError(err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: CodeUsage, Err: err}
}

// UnknownCommand returns an error for an unknown command name. Without arguments it shows the help.
func UnknownCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return cli.ShowRootCommandHelp(c)
	}
	return usageErrorf("unknown command %q\nSee %s --help.", c.Args().First(), c.FullName())
}

// ExitCodeHelp describes the exit codes for the help text.
const ExitCodeHelp = `Exit codes:
   0  success
   1  other failure
   2  the command line, a document or a settings file is invalid
   3  conflict: another change was recorded first, or the cell's state contradicts an attestation
   4  the named service, node or cell does not exist
   5  the token is missing or invalid, or the team lacks the permission
   6  the node, the cell or the store is unreachable, or the outcome is unknown
   7  the change was recorded but not accepted in time`

// usageErrorf returns an error with CodeUsage.
func usageErrorf(format string, args ...any) error {
	return &ExitError{Code: CodeUsage, Err: errors.Newf(format, args...)}
}

// OnUsageError handles errors of the command-line parser: it sets CodeUsage and refers to the help.
func OnUsageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	return usageErrorf("%v\nSee %s --help.", err, c.FullName())
}
