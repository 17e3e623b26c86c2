package emulator

const (
	// toleratedFailures and toleratedFailureShare bound the first tries that fail at instances that are cut off from
	// all targets before their share of served ones counts, the second one as a share of all first tries.
	toleratedFailures     = 10
	toleratedFailureShare = 0.02
	// leastServedShare is the least share of first tries served at cut instances, in proportion to that at the others.
	leastServedShare = 2.0 / 3
)

// CutExcess reports whether callers' first tries at instances that are cut off from all targets were served too much
// worse than those at the others.
func CutExcess(cutServed, cutAll, otherServed, others int) bool {
	if cutAll == 0 || others == 0 {
		return false
	}
	failed := float64(cutAll - cutServed)
	if failed <= toleratedFailures+toleratedFailureShare*float64(cutAll+others) {
		return false
	}
	return float64(cutServed)/float64(cutAll) < leastServedShare*float64(otherServed)/float64(others)
}
