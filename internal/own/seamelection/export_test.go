package seamelection

import "cardamomseam/internal/own/seamassign"

// Updates tells which updates are due on the heartbeat stream of one holder.
type Updates struct{ stream heartbeatStream }

// Due reports whether an update is sent after those before it.
func (u *Updates) Due(r seamassign.Reply) bool { return u.stream.updateDue(r) }
