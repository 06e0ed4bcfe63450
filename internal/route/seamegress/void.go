package seamegress

import (
	"context"
	"net"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamroutewire"
)

// Voider serves streams that void attempts.
type VoidHandler struct {
	// Egress is asked.
	Egress *Egress
}

// ServeStream answers one question whether an attempt has run.
func (v VoidHandler) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	reader, done := seamframe.NewReader(conn)
	defer done()
	conn.SetReadDeadline(time.Now().Add(headTime))
	ask := new(seamroutewire.Void)
	if err := reader.ReadMessage(seamframe.Void, ask); err != nil {
		return
	}
	state := v.Egress.Void(ask)
	answer := &seamroutewire.Voided{Attempt: ask.GetAttempt(), State: string(state)}
	// Without an answer the asking node takes the outcome as unknown.
	_ = seamframe.Write(conn, seamframe.Voided, answer)
}
