package seamsetting

import (
	"fmt"
	"strings"
)

// Fault is an error in a settings file.
type Fault struct {
	// File is the path of the file.
	File string
	// Line is the line number, from 1; 0 if the fault has no line.
	Line int
	// Field is the path of the field, such as cell.heartbeat.
	Field string
	// Value is the value in the file, or empty if the field is missing.
	Value string
	// Allowed describes the accepted values.
	Allowed string
}

// String formats the fault as one line.
func (f Fault) String() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	return fmt.Sprintf("%s: %s: found %q, allowed: %s", location, f.Field, f.Value, f.Allowed)
}

// Faults are all errors of a settings file, sorted by line.
type Faults []Fault

// Error lists the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, x := range f {
		lines = append(lines, x.String())
	}
	return strings.Join(lines, "\n")
}

// ReadError reports that the settings file could not be read.
type ReadError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *ReadError) Error() string {
	return fmt.Sprintf("cannot read settings %s: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }
