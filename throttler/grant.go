package throttler

import "time"

// Grant is the answer of a target's holder to an instance that wants to send the target a request.
type Grant struct {
	// Granted reports whether the instance may send its request now. Otherwise Wait is when it may ask again.
	Granted bool
	Wait    time.Duration
	// Notice holds the limit that the holder applies; zero if it has none.
	Notice Notice
}

// Grant decides as the holder of a target whether an instance may send it a request now. The caller makes sure that this
// instance is the holder. The notice of the asking instance counts first, as the holder may not have received the limit.
func (th *Throttler) Grant(no Notice) Grant {
	th.mu.Lock()
	defer th.mu.Unlock()
	th.askedCold(no)
	th.merge(Notice{Target: no.Target, Limit: no.Limit})
	st := th.state(no.Target)
	if st == nil {
		return Grant{Wait: maxGrantWait, Notice: Notice{Target: no.Target}}
	}
	gr := Grant{Granted: true, Notice: st.notice(no.Target)}
	coldUntil := st.cold.until
	if st.askedUntil.After(coldUntil) {
		coldUntil = st.askedUntil
	}
	if li, _, ok := th.inForce(no.Target, st, coldUntil); ok {
		gr.Wait, gr.Granted = st.grants.take(holderRate(li), time.Now())
	}
	return gr
}
