//go:build race

package seamassign_test

// raceFactor is how many times slower code may be under the race detector.
const raceFactor = 10
