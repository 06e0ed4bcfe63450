// Package seamexperiment provides a registry of experiments, results as JSON lines with
// measurements and their objectives, and the comparison of two result files.
package seamexperiment

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomseam/internal/prove/seamcheck"
)

// Measurement is one measured value.
type Measurement struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Objective is the bound stated for the value. It is nil if there is none.
	Objective *Objective `json:"target,omitempty"`
}

// Objective is an upper or lower bound on a measurement.
type Objective struct {
	// Direction is AtMost or AtLeast.
	Direction string  `json:"way"`
	Bound     float64 `json:"bound"`
	// Missed says that the value violates the bound.
	Missed bool `json:"missed"`
}

// Directions of an objective.
const (
	AtMost  = "most"
	AtLeast = "least"
)

// Units of measurements.
const (
	Seconds        = "s"
	Milliseconds   = "ms"
	Microseconds   = "us"
	Ratio          = "ratio"
	Count          = "count"
	PerSecond      = "1/s"
	PerMinute      = "1/min"
	Bytes          = "B"
	BytesPerSecond = "B/s"
	Percent        = "%"
)

// Series is a data series to plot.
type Series struct {
	Name  string    `json:"name"`
	XName string    `json:"xname"`
	YName string    `json:"yname"`
	X     []float64 `json:"x"`
	Y     []float64 `json:"y"`
}

// maxViolations is the number of violations that a result keeps.
const maxViolations = 20

// Result is the outcome of one experiment at one fleet size. It is written as a JSON line.
type Result struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Size is the number of nodes.
	Size int `json:"size"`
	// Started is the wall-clock time of the start.
	Started time.Time `json:"started"`
	// ElapsedSeconds is the duration of the experiment, in seconds.
	ElapsedSeconds float64       `json:"took"`
	Measurements   []Measurement `json:"figures"`
	Series         []Series      `json:"series,omitempty"`
	// Violations are the violated guarantees. At most maxViolations are kept.
	Violations []seamcheck.Violation `json:"violations,omitempty"`
	// ViolationCount is the number of all violations.
	ViolationCount int `json:"broken"`
	// Trace holds the events that led to the first violation.
	Trace []string `json:"trace,omitempty"`
	// Failure is the error that prevented the experiment from completing, or empty.
	Failure string `json:"failure,omitempty"`
}

// Add adds a measurement without an objective.
func (r *Result) Add(name string, value float64, unit string) {
	r.Measurements = append(r.Measurements, Measurement{Name: name, Value: value, Unit: unit})
}

// AddAtMost adds a measurement whose value must be at most bound.
func (r *Result) AddAtMost(name string, value float64, unit string, bound float64) {
	t := &Objective{Direction: AtMost, Bound: bound, Missed: !(value <= bound)}
	r.Measurements = append(r.Measurements, Measurement{Name: name, Value: value, Unit: unit, Objective: t})
}

// AddAtLeast adds a measurement whose value must be at least bound.
func (r *Result) AddAtLeast(name string, value float64, unit string, bound float64) {
	t := &Objective{Direction: AtLeast, Bound: bound, Missed: !(value >= bound)}
	r.Measurements = append(r.Measurements, Measurement{Name: name, Value: value, Unit: unit, Objective: t})
}

// AddViolations adds the violations and, for each kind, a measurement of their number, whose
// objective is 0.
func (r *Result) AddViolations(found []seamcheck.Violation) {
	r.ViolationCount += len(found)
	r.Violations = append(r.Violations, found...)
	if len(r.Violations) > maxViolations {
		r.Violations = r.Violations[:maxViolations]
	}
	for _, p := range seamcheck.Kinds {
		r.AddAtMost("broken-"+p, float64(seamcheck.CountKind(found, p)), Count, 0)
	}
}

// Missed returns the names of the measurements that missed their objectives.
func (r *Result) Missed() []string {
	var names []string
	for _, m := range r.Measurements {
		if m.Objective != nil && m.Objective.Missed {
			names = append(names, m.Name)
		}
	}
	return names
}

// Passed reports whether the experiment completed, missed no objective and found no violation.
func (r *Result) Passed() bool {
	return r.Failure == "" && r.ViolationCount == 0 && len(r.Missed()) == 0
}

// Write writes the result as one JSON line.
func (r *Result) Write(w io.Writer) error {
	return errors.Wrap(json.NewEncoder(w).Encode(r), "write result")
}

// maxLineBytes is the maximum length of a line of a result file.
const maxLineBytes = 64 << 20

// ReadFile reads results from a file of JSON lines.
func ReadFile(name string) ([]Result, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var list []Result
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var r Result
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, errors.Wrapf(err, "%s:%d", name, n)
		}
		list = append(list, r)
	}
	return list, errors.Wrap(lines.Err(), name)
}

// Summary returns the measurement and its objective as text.
func (f Measurement) Summary() string {
	s := fmt.Sprintf("%s %.4g %s", f.Name, f.Value, f.Unit)
	if f.Objective == nil {
		return s
	}
	verdict := "met"
	if f.Objective.Missed {
		verdict = "MISSED"
	}
	return fmt.Sprintf("%s (target at %s %.4g: %s)", s, f.Objective.Direction, f.Objective.Bound, verdict)
}
