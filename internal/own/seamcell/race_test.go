//go:build race

package seamcell_test

// defaultSchedules is smaller with the race detector, which slows the simulation down several
// times. Each schedule runs in a single goroutine.
const defaultSchedules = 400
