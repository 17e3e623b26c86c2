package balancer

import "time"

// PendingRequest tracks a request that was sent to a target, from Send until it is over.
type PendingRequest struct {
	ba     *Balancer
	st     *targetState
	use    *Use
	tokens int
	// committed is the memory that the request may take at the target, in tokens.
	committed int
	begun     bool
	overdue   bool
	probe     bool
	done      bool
}

// Send counts a request that is sent to a target.
func (ba *Balancer) Send(target string, ad Adapter, promptTokens int) *PendingRequest {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	se := &PendingRequest{ba: ba, st: ba.states[target], tokens: promptTokens}
	if se.st == nil {
		se.st = &targetState{uses: make(map[Adapter]*Use)}
	}
	if se.st.unreachable {
		se.probe = true
		se.st.probes++
	}
	se.use = se.st.useOf(ad)
	se.use.Sent++
	if ad.Name != "" && se.st.unreportedSince.IsZero() {
		se.st.unreportedSince = time.Now()
	}
	se.use.Running++
	se.st.inFlight++
	se.st.pendingPrefill += promptTokens
	return se
}

// AnswerBegan records that the answer has begun.
func (se *PendingRequest) AnswerBegan() {
	se.ba.mu.Lock()
	defer se.ba.mu.Unlock()
	se.markBegun()
}

func (se *PendingRequest) markBegun() {
	if !se.begun {
		se.begun = true
		se.st.pendingPrefill -= se.tokens
	}
	if se.overdue {
		se.overdue = false
		se.st.overdue--
	}
}

// MarkOverdue records that the answer should have begun by now.
func (se *PendingRequest) MarkOverdue() {
	se.ba.mu.Lock()
	defer se.ba.mu.Unlock()
	if !se.begun && !se.overdue {
		se.overdue = true
		se.st.overdue++
	}
}

// Done records that the request is over. Further calls do nothing.
func (se *PendingRequest) Done() {
	se.ba.mu.Lock()
	defer se.ba.mu.Unlock()
	if se.done {
		return
	}
	se.done = true
	se.markBegun()
	if se.probe {
		se.st.probes--
	}
	se.st.inFlight--
	se.st.memory.own -= se.committed
	se.use.Running--
}

// Use counts the requests for one adapter on one target: those sent since the last report to the holder, and those running now.
type Use struct {
	Sent    int
	Running int
}

func (st *targetState) useOf(ad Adapter) *Use {
	us, ok := st.uses[ad]
	if !ok {
		us = &Use{}
		st.uses[ad] = us
	}
	return us
}

// Unreported returns the IDs of the targets whose holders have not received a report of the instance's requests although the
// first of these was sent at least the given time ago.
func (ba *Balancer) Unreported(since time.Duration) []string {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	var unreported []string
	for id, st := range ba.states {
		if !st.unreportedSince.IsZero() && time.Since(st.unreportedSince) >= since {
			unreported = append(unreported, id)
		}
	}
	return unreported
}

// TakeUses returns the instance's use of a target, by adapter, and starts a new count of the requests sent. Requests for a
// base model are left out. It is nil if the target is unknown.
func (ba *Balancer) TakeUses(target string) map[Adapter]Use {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	if !ok {
		return nil
	}
	st.unreportedSince = time.Time{}
	uses := make(map[Adapter]Use, len(st.uses))
	for ad, us := range st.uses {
		if ad.Name != "" {
			uses[ad] = *us
		}
		us.Sent = 0
		if us.Running == 0 {
			delete(st.uses, ad)
		}
	}
	return uses
}
