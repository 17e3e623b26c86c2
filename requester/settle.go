package requester

// ChargedTokens returns what to keep of a request's charge: what the target counted, nothing for a request that did not
// run, and all of it where nobody can tell.
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
