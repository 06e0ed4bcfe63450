package seamevent

// Names of events. The log uses the same names as messages.
const (
	NodeStarted      = "node.started"
	NodeStopped      = "node.stopped"
	NodeDraining     = "node.draining"
	NodeDrained      = "node.drained"
	TargetAnnounced  = "target.announced"
	TargetLost       = "target.lost"
	TargetLeaving    = "target.leaving"
	CellFounded      = "cell.founded"
	CellEpoch        = "cell.epoch"
	CellMemberJoined = "cell.joined"
	CellMemberLost   = "cell.lost"
	CellStopped      = "cell.stopped"
	SlotGranted      = "slot.granted"
	SlotReleased     = "slot.released"
	SlotMoved        = "slot.moved"
	SlotLapsed       = "slot.lapsed"
	RuleRecorded     = "rule.recorded"
	RuleApplied      = "rule.applied"
	RuleAccepted     = "rule.accepted"
	StoreDown        = "store.down"
	StoreUp          = "store.up"
	RequestRefused   = "request.refused"
	RequestUnknown   = "request.unknown"
	InvariantBroken  = "invariant.broken"
)
