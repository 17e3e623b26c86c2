package model_test

// specifications are the runs of the checker, by name. Names are unique over all files.
var specifications = map[string]specification{
	"leases hold":                       {"lease.pml", "", holds},
	"leases hold over new lists":        {"lease.pml", "-DLISTS -DTICKS=3", holds},
	"leases hold over a crash":          {"lease.pml", "-DCRASH -DHOLD=1", holds},
	"leases hold over hand-overs":       {"lease.pml", "-DRELEASES -DTICKS=3", holds},
	"promises during a takeover":        {"lease.pml", "-DPROMISE_IN_TAKEOVER", broken},
	"unknown takeover forgotten":        {"lease.pml", "-DFORGET_UNKNOWN", broken},
	"takeover within a promise":         {"lease.pml", "-DTAKE_IN_PROMISE", broken},
	"lease counted from its answer":     {"lease.pml", "-DLATE_DEADLINE", broken},
	"promise counted from its answer":   {"lease.pml", "-DLATE_PROMISE", broken},
	"one promise of two":                {"lease.pml", "-DONE_PROMISE", broken},
	"lapsed lease renewed":              {"lease.pml", "-DRENEW_LAPSED", broken},
	"promises of the new list only":     {"lease.pml", "-DNEW_LIST_ONLY -DLISTS", broken},
	"stranger takes over at once":       {"lease.pml", "-DNO_HOLD_TIME -DCRASH", broken},
	"handed-over record within promise": {"lease.pml", "-DTAKE_RELEASED_IN_PROMISE -DRELEASES", broken},
	"acts until the hand-over is known": {"lease.pml", "-DACT_IN_RELEASE -DRELEASES", broken},
	"same fencing number":               {"lease.pml", "-DSAME_FENCING", broken},
}
