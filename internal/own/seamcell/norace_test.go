//go:build !race

package seamcell_test

// defaultSchedules is the number of random schedules in a run of the tests.
const defaultSchedules = 2000
