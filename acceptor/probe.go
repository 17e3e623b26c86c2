package acceptor

// claimProbe claims, directly before the send, the right to test the verdict that the request is to test, so that a request
// that is not sent leaves it to others. Without the right, the request is refused as others are.
func (ex *exchange) claimProbe() {
	if ex.probe == "" || ex.probeClaimed {
		return
	}
	ve, ok := ex.ac.op.Parts.Condemned(ex.partKeys)
	if ok && ve.ProbeDue() && ex.ac.op.ClaimProbe(ex.ctx, ve) {
		ex.probeClaimed = true
		return
	}
	ex.leaveProbe()
	ex.probeDenied, ex.outcome.probe = true, false
}

// leaveProbe lets another request of this instance test the verdict.
func (ex *exchange) leaveProbe() {
	if ex.probe != "" {
		ex.endProbe()
	}
	ex.probe = ""
}
