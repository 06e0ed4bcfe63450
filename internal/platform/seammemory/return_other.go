//go:build !linux

package seammemory

// ReturnProgram does nothing on this system.
func ReturnProgram() (int, error) { return 0, nil }
