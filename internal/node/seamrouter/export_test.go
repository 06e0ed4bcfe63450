package seamrouter

// WaitOf is waitOf for tests.
var WaitOf = waitOf
