package seamheader

import (
	"iter"
	"strings"
)

// splitList returns the elements, without surrounding space, of a comma-separated list.
func splitList(list string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(list, ",") {
			if !yield(strings.TrimSpace(part)) {
				return
			}
		}
	}
}
