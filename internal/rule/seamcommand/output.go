package seamcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"unicode/utf8"

	"golang.org/x/term"
)

// Values of the output format flag.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// color is the terminal escape sequence that starts a text style, or empty for plain text.
type color string

const (
	plain  color = ""
	red    color = "\x1b[31m"
	green  color = "\x1b[32m"
	yellow color = "\x1b[33m"
	bold   color = "\x1b[1m"
	reset  color = "\x1b[0m"
)

// output writes results as text or as JSON.
type output struct {
	w      io.Writer
	json   bool
	colors bool
}

// newOutput returns an output that uses colors if w is a terminal and NO_COLOR is not set.
func newOutput(w io.Writer, format string) output {
	f, ok := w.(*os.File)
	isTerminal := ok && term.IsTerminal(int(f.Fd()))
	return output{w: w, json: format == formatJSON, colors: isTerminal && os.Getenv("NO_COLOR") == ""}
}

// writeJSON writes v as indented JSON.
func (o output) writeJSON(v any) error {
	e := json.NewEncoder(o.w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// writeJSONLine writes v as one line of JSON.
func (o output) writeJSONLine(v any) error {
	e := json.NewEncoder(o.w)
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

// colorize wraps the text in the color if colors are enabled.
func (o output) colorize(c color, text string) string {
	if !o.colors || c == plain {
		return text
	}
	return string(c) + text + string(reset)
}

// printf writes formatted text.
func (o output) printf(format string, args ...any) {
	fmt.Fprintf(o.w, format, args...)
}

// tableCell is one cell of a table, with the color of its text.
type tableCell struct {
	text  string
	color color
}

// table is a text table with a header row.
type table struct {
	header []string
	rows   [][]tableCell
}

func (t *table) add(cells ...any) {
	row := make([]tableCell, 0, len(cells))
	for _, c := range cells {
		if colored, ok := c.(tableCell); ok {
			row = append(row, colored)
			continue
		}
		row = append(row, tableCell{text: fmt.Sprint(c)})
	}
	t.rows = append(t.rows, row)
}

// write prints the table with aligned columns. Color sequences do not count toward the width.
func (t *table) write(o output) {
	widths := make([]int, len(t.header))
	for i, h := range t.header {
		widths[i] = utf8.RuneCountInString(h)
	}
	for _, row := range t.rows {
		for i, c := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(c.text))
		}
	}
	header := make([]tableCell, 0, len(t.header))
	for _, h := range t.header {
		header = append(header, tableCell{text: h, color: bold})
	}
	writeRow(o, header, widths)
	for _, row := range t.rows {
		writeRow(o, row, widths)
	}
}

func writeRow(o output, row []tableCell, widths []int) {
	for i, c := range row {
		o.printf("%s", o.colorize(c.color, c.text))
		if i < len(row)-1 {
			o.printf("%s", strings.Repeat(" ", widths[i]-utf8.RuneCountInString(c.text)+2))
		}
	}
	o.printf("\n")
}

// writeDiff writes a unified diff and colors each line by its prefix.
func (o output) writeDiff(text string) {
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		o.printf("%s\n", o.colorize(lineColor(line), line))
	}
}

func lineColor(line string) color {
	switch {
	case strings.HasPrefix(line, "---"), strings.HasPrefix(line, "+++"), strings.HasPrefix(line, "@@"):
		return bold
	case strings.HasPrefix(line, "-"):
		return red
	case strings.HasPrefix(line, "+"):
		return green
	}
	return plain
}
