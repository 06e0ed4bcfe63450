package seamrouter

// JitteredWatchTimeout exports jitteredWatchTimeout to tests.
var JitteredWatchTimeout = jitteredWatchTimeout
