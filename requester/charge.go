package requester

// ChargedTokens returns the tokens to charge for a finished request: the number that the target counted, zero for a
// request that did not run, and the full cost charged in advance if the outcome is unknown.
func ChargedTokens(rq *Request, us Usage, err error) int64 {
	rf := AsRefusal(err)
	switch {
	case rf == nil:
		return us.TotalTokens()
	case rf.Outcome() == OutcomeNotRun:
		return 0
	default:
		return rq.Cost()
	}
}
