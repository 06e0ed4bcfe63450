package seammemory

import "io"

// CleanForTest returns the start of each mapping whose pages may be returned.
func ReleasableForTest(r io.Reader, program string) ([]uintptr, error) {
	list, err := parseMappings(r)
	var clean []uintptr
	for _, m := range list {
		if m.clean(program) {
			clean = append(clean, m.from)
		}
	}
	return clean, err
}
