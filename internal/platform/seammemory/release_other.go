//go:build !linux

package seammemory

// ReleaseProgramPages releases no pages and returns 0, since it is implemented only on Linux.
func ReleaseProgramPages() (int, error) { return 0, nil }
