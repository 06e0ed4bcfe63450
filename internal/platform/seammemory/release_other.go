//go:build !linux

package seammemory

// ReleaseProgramPages does nothing on this operating system.
func ReleaseProgramPages() (int, error) { return 0, nil }
