package acceptor

import (
	"errors"
	"net/http"
	"time"

	"lovagebank/balancer"
	"lovagebank/forwarder"
	"lovagebank/platform"
)

// recordColdness records the remaining cold time that a response states. A response from a target other than the intended one
// is ignored.
func (ex *exchange) recordColdness(ta *balancer.Target, rs *forwarder.Response) {
	if ex.service.ColdTime() <= 0 || rs.Status() == http.StatusMisdirectedRequest {
		return
	}
	if co := platform.ParseColdness(rs.Header()); co.Named {
		ex.ac.op.ColdAnswered(ta.Start(), co, ex.sentAt)
	}
}

// connectionFailed records that a connection to a target has failed. The target may have started again, so that it is
// cold, or has other software.
func (ex *exchange) connectionFailed(ta *balancer.Target, unreachable bool) {
	ex.ac.restarts.record(ta.ID())
	ex.ac.op.Balancer.ConnectionFailed(ta.ID(), unreachable)
	if cold := ex.service.ColdTime(); cold > 0 {
		ex.ac.op.TargetFailed(ta, cold)
	}
}

// grantRanOut reports whether a request was not sent only because its grant to send it to a target that is cold ended before
// there was a connection. It may request another one.
func (ex *exchange) grantRanOut(ta *balancer.Target, err error) bool {
	ended := !ex.sendBefore.IsZero() && !time.Now().Before(ex.sendBefore)
	return ended && errors.Is(err, forwarder.ErrUnusable) && ex.ac.op.Balancer.Available(ta)
}
