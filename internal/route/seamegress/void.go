package seamegress

import (
	"context"
	"net"
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamframe"
	"cardamomseam/internal/route/seamroutewire"
)

// VoidHandler serves the requests of other nodes to void an attempt, which means to guarantee that it has not run
// and never will.
type VoidHandler struct {
	// Egress is the egress whose attempts are voided.
	Egress *Egress
}

// ServeStream tries to void one attempt and replies with its state: voided, ran or unknown.
func (v VoidHandler) ServeStream(_ context.Context, _ seampeer.Peer, conn net.Conn) {
	reader, done := seamframe.NewReader(conn)
	defer done()
	conn.SetReadDeadline(time.Now().Add(headTimeout))
	request := new(seamroutewire.Void)
	if err := reader.ReadMessage(seamframe.Void, request); err != nil {
		return
	}
	state := v.Egress.Void(request)
	reply := &seamroutewire.Voided{Attempt: request.GetAttempt(), State: string(state)}
	// If the reply is lost, the requesting node treats the outcome as unknown.
	_ = seamframe.Write(conn, seamframe.Voided, reply)
}
