//go:build race

package seamcell_test

// defaultSchedules is smaller with the race detector, which makes the model several times slower;
// the model has one goroutine a schedule.
const defaultSchedules = 400
