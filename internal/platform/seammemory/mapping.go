// Package seammemory returns memory that a process does not use, so that what it holds is what it needs.
package seammemory

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// mapping is one mapping of a file into the memory of the process.
type mapping struct {
	from, to uintptr
	// access is as in /proc/PID/maps: r-xp for code, r--p for constants.
	access string
	file   string
	// changed is the size of the pages that are no longer those of the file, in KB.
	anonymousKB int
}

// clean reports whether each page of the mapping can be read from the file again.
func (m mapping) releasable(file string) bool {
	return m.file == file && m.anonymousKB == 0 && (m.access == "r-xp" || m.access == "r--p")
}

// parseMappings reads mappings in the format of /proc/PID/smaps.
func parseMappings(r io.Reader) ([]mapping, error) {
	var list []mapping
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
			list = append(list, m)
			continue
		}
		if len(fields) >= 2 && fields[0] == "Anonymous:" && len(list) > 0 {
			if _, err := fmt.Sscan(fields[1], &list[len(list)-1].anonymousKB); err != nil {
				return nil, &MappingError{Line: lines.Text()}
			}
		}
	}
	return list, lines.Err()
}

// MappingError says that a line of the list of mappings could not be read.
type MappingError struct {
	Line string
}

// Error shows the line.
func (e *MappingError) Error() string {
	return fmt.Sprintf("unreadable line of mappings: %q", e.Line)
}
