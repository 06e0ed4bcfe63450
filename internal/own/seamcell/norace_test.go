//go:build !race

package seamcell_test

// defaultSchedules is the default number of random schedules in a test run.
const defaultSchedules = 2000
