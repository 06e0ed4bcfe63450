// Package seamexperiment holds the frame of the experiments: a registry, results as JSON
// lines with figures and their targets, and the comparison of two files of results.
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

// Figure is one measured number.
type Measurement struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Target is the bound that was stated for the figure, if one was.
	Objective *Objective `json:"target,omitempty"`
}

// Target is a bound on a figure.
type Objective struct {
	// Way is AtMost or AtLeast.
	Direction string  `json:"way"`
	Bound     float64 `json:"bound"`
	// Missed says that the figure is out of bounds.
	Missed bool `json:"missed"`
}

// Ways of a target.
const (
	AtMost  = "most"
	AtLeast = "least"
)

// Units of figures.
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

// Series is a curve to plot.
type Series struct {
	Name  string    `json:"name"`
	XName string    `json:"xname"`
	YName string    `json:"yname"`
	X     []float64 `json:"x"`
	Y     []float64 `json:"y"`
}

// violationLimit is the number of violations that a result keeps.
const violationLimit = 20

// Result is what an experiment prints.
type Result struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Size is the number of nodes.
	Size int `json:"size"`
	// Started is the wall-clock time of the start.
	Started time.Time `json:"started"`
	// Took is the time that the experiment took, in seconds.
	ElapsedSeconds float64       `json:"took"`
	Measurements   []Measurement `json:"figures"`
	Series         []Series      `json:"series,omitempty"`
	// Violations are broken promises; at most violationLimit are kept.
	Violations []seamcheck.Violation `json:"violations,omitempty"`
	// Broken is the number of broken promises.
	ViolationCount int `json:"broken"`
	// Trace holds the events that led to the violations.
	Trace []string `json:"trace,omitempty"`
	// Failure says why the experiment could not be carried out, if it could not.
	Failure string `json:"failure,omitempty"`
}

// Add adds a figure without a target.
func (r *Result) Add(name string, value float64, unit string) {
	r.Measurements = append(r.Measurements, Measurement{Name: name, Value: value, Unit: unit})
}

// AddMost adds a figure that must be at most bound.
func (r *Result) AddAtMost(name string, value float64, unit string, bound float64) {
	t := &Objective{Direction: AtMost, Bound: bound, Missed: !(value <= bound)}
	r.Measurements = append(r.Measurements, Measurement{Name: name, Value: value, Unit: unit, Objective: t})
}

// AddLeast adds a figure that must be at least bound.
func (r *Result) AddAtLeast(name string, value float64, unit string, bound float64) {
	t := &Objective{Direction: AtLeast, Bound: bound, Missed: !(value >= bound)}
	r.Measurements = append(r.Measurements, Measurement{Name: name, Value: value, Unit: unit, Objective: t})
}

// Judge adds the violations and a figure for each promise.
func (r *Result) AddViolations(found []seamcheck.Violation) {
	r.ViolationCount += len(found)
	r.Violations = append(r.Violations, found...)
	if len(r.Violations) > violationLimit {
		r.Violations = r.Violations[:violationLimit]
	}
	for _, p := range seamcheck.Kinds {
		r.AddAtMost("broken-"+p, float64(seamcheck.CountKind(found, p)), Count, 0)
	}
}

// Missed returns the names of the figures that missed their targets.
func (r *Result) Missed() []string {
	var names []string
	for _, f := range r.Measurements {
		if f.Objective != nil && f.Objective.Missed {
			names = append(names, f.Name)
		}
	}
	return names
}

// Ok reports whether the experiment ran, missed no target and broke no promise.
func (r *Result) Passed() bool {
	return r.Failure == "" && r.ViolationCount == 0 && len(r.Missed()) == 0
}

// Write writes the result as one JSON line.
func (r *Result) Write(w io.Writer) error {
	return errors.Wrap(json.NewEncoder(w).Encode(r), "result")
}

// lineLimit is the longest line of a file of results, in bytes.
const lineLimit = 64 << 20

// ReadFile returns the results in a file of JSON lines.
func ReadFile(name string) ([]Result, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var list []Result
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, lineLimit)
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

// Summary returns a figure as text.
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
