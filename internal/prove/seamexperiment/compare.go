package seamexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// measurementKey identifies a measurement across result files.
type measurementKey struct {
	experiment  string
	size        int
	measurement string
}

// Change holds the old and the new value of one measurement.
type Change struct {
	Experiment  string
	Size        int
	Measurement string
	Unit        string
	Old, New    float64
	// Missed says that the new value does not meet its objective.
	Missed bool
}

// Compare pairs the measurements of two lists of results by experiment, size and name, in the
// order of newer. It omits measurements that are in only one of the lists. If a list contains a
// measurement more than once, the last one counts.
func Compare(older, newer []Result) []Change {
	before := map[measurementKey]Measurement{}
	for _, r := range older {
		for _, m := range r.Measurements {
			before[measurementKey{r.Name, r.Size, m.Name}] = m
		}
	}
	after := map[measurementKey]Measurement{}
	var order []measurementKey
	for _, r := range newer {
		for _, m := range r.Measurements {
			k := measurementKey{r.Name, r.Size, m.Name}
			if _, seen := after[k]; !seen {
				order = append(order, k)
			}
			after[k] = m
		}
	}
	var changes []Change
	for _, k := range order {
		old, ok := before[k]
		if !ok {
			continue
		}
		m := after[k]
		changes = append(changes, Change{
			Experiment: k.experiment, Size: k.size, Measurement: k.measurement, Unit: m.Unit,
			Old: old.Value, New: m.Value, Missed: m.Objective != nil && m.Objective.Missed,
		})
	}
	return changes
}

// Ratio returns the new value divided by the old one as text, or "-" if the old one is 0.
func (c Change) Ratio() string {
	if c.Old == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", c.New/c.Old)
}

// WriteChanges writes the changes as a text table.
func WriteChanges(w io.Writer, changes []Change) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "EXPERIMENT\tSIZE\tFIGURE\tUNIT\tOLD\tNEW\tNEW/OLD\tTARGET")
	for _, c := range changes {
		verdict := ""
		if c.Missed {
			verdict = "missed"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%.4g\t%.4g\t%s\t%s\n",
			c.Experiment, c.Size, c.Measurement, c.Unit, c.Old, c.New, c.Ratio(), verdict)
	}
	return t.Flush()
}
