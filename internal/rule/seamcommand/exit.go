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
	// CodeFailure is any failure without a code of its own.
	CodeFailure = 1
	// CodeUsage means that the command line or a document is wrong.
	CodeUsage = 2
	// CodeConflict means that another change was recorded first.
	CodeConflict = 3
	// CodeMissing means that what was named does not exist.
	CodeNotFound = 4
	// CodeRefused means that the token is missing or wrong, or that the team may not do this.
	CodeDenied = 5
	// CodeUnavailable means that the node or the store could not be reached.
	CodeUnavailable = 6
	// CodePending means that a change was recorded but not accepted in time.
	CodePending = 7
)

// ExitError ends the program with a code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message of the cause.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitCode returns the code.
func (e *ExitError) ExitCode() int { return e.Code }

// Code returns the exit code for the error of a command, 0 for none.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	var e *ExitError
	if errors.As(err, &e) {
		return e.Code
	}
	// The parser of the command line has codes of its own.
	var parser cli.ExitCoder
	if errors.As(err, &parser) {
		return CodeUsage
	}
	return CodeFailure
}

// problemCodes are the exit codes of the problems that the API reports.
var problemCodes = map[string]int{
	seamapi.CodeInvalid:      CodeUsage,
	seamapi.CodeConflict:     CodeConflict,
	seamapi.CodeNotFound:     CodeNotFound,
	seamapi.CodeUnauthorized: CodeDenied,
	seamapi.CodeForbidden:    CodeDenied,
	seamapi.CodeUnavailable:  CodeUnavailable,
	seamapi.CodeUnknown:      CodeUnavailable,
	seamapi.CodeStale:        CodeUnavailable,
}

// exit gives an error its exit code.
func exit(err error) error {
	if err == nil {
		return nil
	}
	var done *ExitError
	if errors.As(err, &done) {
		return err
	}
	var p *seamapi.Problem
	if errors.As(err, &p) {
		if code, ok := problemCodes[p.Code]; ok {
			return &ExitError{Code: code, Err: err}
		}
	}
	var unreachable *seamclient.UnreachableError
	if errors.As(err, &unreachable) {
		return &ExitError{Code: CodeUnavailable, Err: errors.Newf("%v\nCheck --address, and that a node runs there.", err)}
	}
	return &ExitError{Code: CodeFailure, Err: err}
}

// Usage gives an error about the command line, or about a file that it names, its exit code.
func UsageError(err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: CodeUsage, Err: err}
}

// UnknownCommand refuses a command line that names no command. Without any word it shows the help.
func UnknownCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return cli.ShowRootCommandHelp(c)
	}
	return usage("there is no command %q\nSee %s --help.", c.Args().First(), c.FullName())
}

// ExitCodes describes the exit codes for the help.
const ExitCodeHelp = `Exit codes:
   0  done
   1  failure of another kind
   2  the command line, a document or a file of settings is wrong
   3  conflict: another change was recorded first, or the cell's state speaks against an attestation
   4  what was named does not exist
   5  token missing or wrong, or the team may not do this
   6  node, cell or store not reachable, or the outcome is unknown
   7  recorded, but not accepted in time`

// usage makes an error about the command line.
func usage(format string, args ...any) error {
	return &ExitError{Code: CodeUsage, Err: errors.Newf(format, args...)}
}

// OnUsage gives errors of the parser of the command line their exit code.
func OnUsageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	return usage("%v\nSee %s --help.", err, c.FullName())
}
