package seamrouter

import "time"

// JitteredWatchTimeout exports jitteredWatchTimeout to tests.
var JitteredWatchTimeout = jitteredWatchTimeout

// OnAssumeCold sets the function that is called when the target may be cold.
func (n *Node) OnAssumeCold(f func(now time.Time)) { n.assumeCold.Store(&f) }

// TargetEvacuated exports targetEvacuated to tests.
func (n *Node) TargetEvacuated(now time.Time, keyed bool) bool { return n.targetEvacuated(now, keyed) }
