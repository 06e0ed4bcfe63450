package seamrouter

// WaitOf is waitOf for tests.
var JitteredWatchTimeout = waitOf
