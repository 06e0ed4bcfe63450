package seammemory

import "io"

// CleanForTest returns the start of each mapping whose pages may be returned.
func ReleasableForTest(r io.Reader, program string) ([]uintptr, error) {
	list, err := parseMappings(r)
	var starts []uintptr
	for _, m := range list {
		if m.releasable(program) {
			starts = append(starts, m.from)
		}
	}
	return starts, err
}
