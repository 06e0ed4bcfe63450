package seamingress

import (
	"time"

	"cardamomseam/internal/member/seampeer"
	"cardamomseam/internal/route/seamcall"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamthrottle"
)

// addNotice adds to the request's head what this node has passed on about the target of the node. That node may have forgotten it
// in a restart.
func (x *exchange) addNotice(now time.Time, to seampeer.Peer) {
	x.to, x.head.Notice = to, nil
	if r, ok := x.ingress.reports.For(now, to.Address); ok {
		x.head.Notice = seamcall.NoticeToWire(&r)
	}
}

// recordHeadNotice records what the head of a response says about the target.
func (x *exchange) recordHeadNotice(now time.Time, head *seamroutewire.AnswerHead) {
	if n := head.GetNotice(); n != nil {
		x.recordNotice(now, seamcall.NoticeFromWire(n))
	}
}

// recordNotice records what the node of the current attempt says about its target.
func (x *exchange) recordNotice(now time.Time, r seamthrottle.Report) {
	if x.to.Address != x.ingress.self.Address {
		x.ingress.reports.Record(now, x.to.Address, r)
	}
}
