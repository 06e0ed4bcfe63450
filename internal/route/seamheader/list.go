package seamheader

import (
	"iter"
	"strings"
)

// splitList returns the trimmed elements of a comma-separated list.
func splitList(line string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(line, ",") {
			if !yield(strings.TrimSpace(part)) {
				return
			}
		}
	}
}
