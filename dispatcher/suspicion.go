package dispatcher

import "time"

// death is the death of a target as seen by a request that ran on it: from is the start of the run, at its loss.
type death struct {
	target string
	from   time.Time
	at     time.Time
}

// same reports whether two requests saw the same death: their runs on the target overlap, and the death ended both.
func (de death) same(other death) bool {
	return de.target == other.target && !de.from.After(other.at) && !other.from.After(de.at)
}

// suspicion holds the target deaths that one request saw.
type suspicion struct {
	deaths  []death
	expires time.Time
	// cleared is the time when the request last ran to its end; earlier deaths don't count.
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

// crashing reports whether the request saw enough deaths to be quarantined.
func (su *suspicion) crashing() bool { return len(su.deaths) >= crashesToStop }
