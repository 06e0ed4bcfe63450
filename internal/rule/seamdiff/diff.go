// Package seamdiff computes line-based differences between texts in the unified format.
package seamdiff

import (
	"fmt"
	"strings"
)

const (
	// contextLines is the number of unchanged lines shown before and after each change.
	contextLines = 3
	// maxTableCells limits the number of entries in the table of longest common subsequence lengths. If
	// the table would be larger, all differing lines are shown as removed and added.
	maxTableCells = 4 << 20
)

// Unified returns the difference between two texts in the unified format, or an empty string if they
// are equal.
func Unified(beforeName, before, afterName, after string) string {
	if before == after {
		return ""
	}
	edits := diffLines(splitLines(before), splitLines(after))
	var b strings.Builder
	fmt.Fprintf(&b, "--- %s\n+++ %s\n", beforeName, afterName)
	for _, h := range groupHunks(edits) {
		h.write(&b)
	}
	return b.String()
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// edit is one line of an edit script. kind is ' ' for an unchanged, '-' for a removed and '+' for an
// added line.
type edit struct {
	kind byte
	line string
	// before and after are the numbers of lines that precede the edit in the old and in the new text.
	before, after int
}

// diffLines returns the edit script from a to b, based on a longest common subsequence.
func diffLines(a, b []string) []edit {
	prefix := 0
	for prefix < len(a) && prefix < len(b) && a[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < len(a)-prefix && suffix < len(b)-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	var e editScript
	e.addEqual(a[:prefix])
	e.addDifference(a[prefix:len(a)-suffix], b[prefix:len(b)-suffix])
	e.addEqual(a[len(a)-suffix:])
	return e.edits
}

// editScript builds the edits, and counts the lines of the old and the new text that they cover.
type editScript struct {
	edits         []edit
	before, after int
}

func (e *editScript) add(kind byte, line string) {
	e.edits = append(e.edits, edit{kind: kind, line: line, before: e.before, after: e.after})
	if kind != '+' {
		e.before++
	}
	if kind != '-' {
		e.after++
	}
}

func (e *editScript) addEqual(lines []string) {
	for _, l := range lines {
		e.add(' ', l)
	}
}

func (e *editScript) addDifference(a, b []string) {
	i, j := 0, 0
	if (len(a)+1)*(len(b)+1) <= maxTableCells {
		length := lcsLengths(a, b)
		for i < len(a) && j < len(b) {
			switch {
			case a[i] == b[j]:
				e.add(' ', a[i])
				i++
				j++
			case length[i+1][j] >= length[i][j+1]:
				e.add('-', a[i])
				i++
			default:
				e.add('+', b[j])
				j++
			}
		}
	}
	for ; i < len(a); i++ {
		e.add('-', a[i])
	}
	for ; j < len(b); j++ {
		e.add('+', b[j])
	}
}

// lcsLengths returns the lengths of the longest common subsequences of a[i:] and b[j:], for all i and j.
func lcsLengths(a, b []string) [][]int32 {
	length := make([][]int32, len(a)+1)
	for i := range length {
		length[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				length[i][j] = length[i+1][j+1] + 1
			} else {
				length[i][j] = max(length[i+1][j], length[i][j+1])
			}
		}
	}
	return length
}

// hunk is a run of edits that is written under one @@ header.
type hunk []edit

// groupHunks returns the changes with their context lines, and merges hunks whose context lines touch or overlap.
func groupHunks(edits []edit) []hunk {
	var hunks []hunk
	end := 0
	for i, e := range edits {
		if e.kind == ' ' {
			continue
		}
		from := max(i-contextLines, 0)
		to := min(i+contextLines+1, len(edits))
		if len(hunks) == 0 || from > end {
			hunks = append(hunks, hunk(edits[from:to]))
		} else {
			last := len(hunks) - 1
			hunks[last] = edits[end-len(hunks[last]) : to]
		}
		end = to
	}
	return hunks
}

func (h hunk) write(b *strings.Builder) {
	before, after := 0, 0
	for _, e := range h {
		if e.kind != '+' {
			before++
		}
		if e.kind != '-' {
			after++
		}
	}
	fmt.Fprintf(b, "@@ -%s +%s @@\n", formatRange(h[0].before, before), formatRange(h[0].after, after))
	for _, e := range h {
		fmt.Fprintf(b, "%c%s\n", e.kind, e.line)
	}
}

// formatRange formats a hunk's range: the number of its first line, counted from 1, and its line count.
func formatRange(preceding, count int) string {
	if count == 0 {
		return fmt.Sprintf("%d,0", preceding)
	}
	return fmt.Sprintf("%d,%d", preceding+1, count)
}
