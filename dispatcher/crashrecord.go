package dispatcher

import "time"

// death is the death of a target as seen by a request that ran on it: started is the start of the run, at is the time
// when it was lost.
type death struct {
	target  string
	started time.Time
	at      time.Time
}

// same reports whether two requests saw the same death: their runs on the target overlap, and the death ended both.
func (de death) same(other death) bool {
	return de.target == other.target && !de.started.After(other.at) && !other.started.After(de.at)
}

// crashRecord holds the target deaths that one request saw.
type crashRecord struct {
	deaths  []death
	expires time.Time
	// cleared is the time when the request last ran to its end; earlier deaths don't count.
	cleared time.Time
}

func (cr *crashRecord) add(de death) {
	if !de.at.After(cr.cleared) || cr.hasDeath(de) {
		return
	}
	cr.deaths = append(cr.deaths, de)
}

func (cr *crashRecord) hasDeath(de death) bool {
	for _, known := range cr.deaths {
		if known.same(de) {
			return true
		}
	}
	return false
}

func (cr *crashRecord) clear(now time.Time) {
	cr.deaths, cr.cleared = nil, now
}

// atDeathLimit reports whether the request saw enough deaths to be quarantined.
func (cr *crashRecord) atDeathLimit() bool { return len(cr.deaths) >= deathLimit }
