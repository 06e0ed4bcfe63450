package seammemory

import "io"

// ReleasableForTest returns the start address of each releasable mapping.
func ReleasableForTest(r io.Reader, program string) ([]uintptr, error) {
	mappings, err := parseMappings(r)
	var starts []uintptr
	for _, m := range mappings {
		if m.releasable(program) {
			starts = append(starts, m.from)
		}
	}
	return starts, err
}
