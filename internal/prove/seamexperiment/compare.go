package seamexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// figureKey names a figure across files of results.
type figureKey struct {
	experiment string
	size       int
	figure     string
}

// Change is a figure in two files.
type Change struct {
	Experiment  string
	Size        int
	Measurement string
	Unit        string
	Old, New    float64
	// Missed says that the new figure misses its target.
	Missed bool
}

// Compare pairs the last figure of each name in two lists of results, in the order of newer.
func Compare(older, newer []Result) []Change {
	before := map[figureKey]Measurement{}
	for _, r := range older {
		for _, f := range r.Measurements {
			before[figureKey{r.Name, r.Size, f.Name}] = f
		}
	}
	after := map[figureKey]Measurement{}
	var order []figureKey
	for _, r := range newer {
		for _, f := range r.Measurements {
			k := figureKey{r.Name, r.Size, f.Name}
			if _, seen := after[k]; !seen {
				order = append(order, k)
			}
			after[k] = f
		}
	}
	var changes []Change
	for _, k := range order {
		old, ok := before[k]
		if !ok {
			continue
		}
		f := after[k]
		changes = append(changes, Change{
			Experiment: k.experiment, Size: k.size, Measurement: k.figure, Unit: f.Unit,
			Old: old.Value, New: f.Value, Missed: f.Objective != nil && f.Objective.Missed,
		})
	}
	return changes
}

// Ratio returns new over old as text; "-" if old is 0.
func (c Change) Ratio() string {
	if c.Old == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", c.New/c.Old)
}

// WriteChanges writes a table.
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
