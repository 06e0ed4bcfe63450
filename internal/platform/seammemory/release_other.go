//go:build !linux

package seammemory

// ReleaseProgramPages does nothing on this system.
func ReleaseProgramPages() (int, error) { return 0, nil }
