// Package seammemory returns unused memory of a process to the operating system, so that its resident memory is
// what it needs.
package seammemory

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// mapping is one memory mapping of the process.
type mapping struct {
	from, to uintptr
	// access is the permissions as in /proc/PID/maps: r-xp for code, r--p for constants.
	access string
	file   string
	// anonymousKB is the size in KB of the pages that differ from the file.
	anonymousKB int
}

// releasable reports whether all pages of the mapping can be read from the file again.
func (m mapping) releasable(file string) bool {
	return m.file == file && m.anonymousKB == 0 && (m.access == "r-xp" || m.access == "r--p")
}

// parseMappings parses mappings in the format of /proc/PID/smaps.
func parseMappings(r io.Reader) ([]mapping, error) {
	var mappings []mapping
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) >= 5 && !strings.HasSuffix(fields[0], ":") {
			m := mapping{access: fields[1]}
			if _, err := fmt.Sscanf(fields[0], "%x-%x", &m.from, &m.to); err != nil {
				return nil, &MappingError{Line: lines.Text()}
			}
			if len(fields) > 5 {
				m.file = strings.Join(fields[5:], " ")
			}
			mappings = append(mappings, m)
			continue
		}
		if len(fields) >= 2 && fields[0] == "Anonymous:" && len(mappings) > 0 {
			if _, err := fmt.Sscan(fields[1], &mappings[len(mappings)-1].anonymousKB); err != nil {
				return nil, &MappingError{Line: lines.Text()}
			}
		}
	}
	return mappings, lines.Err()
}

// MappingError reports a malformed line in the list of mappings.
type MappingError struct {
	Line string
}

// Error gives the line.
func (e *MappingError) Error() string {
	return fmt.Sprintf("malformed line in the list of memory mappings: %q", e.Line)
}
