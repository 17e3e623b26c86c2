package dispatcher

import "time"

// death is a target's death as seen by a request that ran on it, from the start of the run to its loss.
type death struct {
	target string
	from   time.Time
	at     time.Time
}

// same tells whether two requests saw one death: their runs on the target overlap, and both ended by it.
func (de death) same(other death) bool {
	return de.target == other.target && !de.from.After(other.at) && !other.from.After(de.at)
}

// suspicion is what is known against one request.
type suspicion struct {
	deaths  []death
	expires time.Time
	// cleared is when the request last ran to its end; earlier deaths don't count.
	cleared time.Time
}

func (su *suspicion) add(de death) {
	if !de.at.After(su.cleared) || su.saw(de) {
		return
	}
	su.deaths = append(su.deaths, de)
}

func (su *suspicion) saw(de death) bool {
	for _, known := range su.deaths {
		if known.same(de) {
			return true
		}
	}
	return false
}

func (su *suspicion) clear(now time.Time) {
	su.deaths, su.cleared = nil, now
}

// crashing tells whether the request was there at enough deaths to be stopped.
func (su *suspicion) crashing() bool { return len(su.deaths) >= crashesToStop }
