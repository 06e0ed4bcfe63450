package seamsetting

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a file of settings.
type Fault struct {
	// File is the path of the file.
	File string
	// Line is the number of the line, from 1; 0 if the fault has no line.
	Line int
	// Field is the path of the field, such as cell.heartbeat.
	Field string
	// Value is what the file says, or empty if the field is missing.
	Value string
	// Allowed says what would be accepted.
	Allowed string
}

// String returns the fault in one line.
func (f Fault) String() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	return fmt.Sprintf("%s: %s: found %q, allowed: %s", location, f.Field, f.Value, f.Allowed)
}

// Faults is everything wrong with a file of settings, in the order of the lines.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, x := range f {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

// ReadError says that the file of settings could not be read.
type ReadError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *ReadError) Error() string {
	return fmt.Sprintf("settings %s cannot be read: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }
