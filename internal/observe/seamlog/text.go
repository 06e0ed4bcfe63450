package seamlog

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/apex/log"
)

// textHandler writes each log entry as a line of text: time, level, message and key=value pairs.
type textHandler struct {
	out io.Writer
}

func newTextHandler(w io.Writer) *textHandler {
	return &textHandler{out: w}
}

// HandleLog writes the entry as one line.
func (h *textHandler) HandleLog(e *log.Entry) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-5s %s", e.Timestamp.Format(time.StampMilli), e.Level, escapeNewlines(e.Message))
	for _, name := range e.Fields.Names() {
		fmt.Fprintf(&b, " %s=%s", name, quoteIfNeeded(fmt.Sprint(e.Fields[name])))
	}
	b.WriteByte('\n')
	_, err := io.WriteString(h.out, b.String())
	return err
}

// escapeNewlines escapes line breaks, so that a message stays on one line.
func escapeNewlines(s string) string {
	return strings.NewReplacer("\n", `\n`, "\r", `\r`).Replace(s)
}

// quoteIfNeeded quotes an empty value and a value with spaces, control characters, quotes or
// equals signs.
func quoteIfNeeded(s string) string {
	if s == "" || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == '"' || r == '=' }) {
		return fmt.Sprintf("%q", s)
	}
	return s
}
