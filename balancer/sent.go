package balancer

import "time"

// PendingRequest counts a request on its way to a target; Begun tells that its answer has begun, and Ended that it is over.
type PendingRequest struct {
	ba      *Balancer
	st      *state
	use     *Use
	tokens  int
	begun   bool
	overdue bool
	probe   bool
}

// Send counts a request that goes to a target.
func (ba *Balancer) Send(target string, ad Adapter, promptTokens int) *PendingRequest {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	se := &PendingRequest{ba: ba, st: ba.states[target], tokens: promptTokens}
	if se.st == nil {
		se.st = &state{uses: make(map[Adapter]*Use)}
	}
	if se.st.unreachable {
		se.probe = true
		se.st.probes++
	}
	se.use = se.st.use(ad)
	se.use.Sent++
	if se.st.untoldSince.IsZero() {
		se.st.untoldSince = time.Now()
	}
	se.use.Running++
	se.st.inFlight++
	se.st.unread += promptTokens
	return se
}

// AnswerBegan notes that the answer has begun.
func (se *PendingRequest) AnswerBegan() {
	se.ba.mu.Lock()
	defer se.ba.mu.Unlock()
	se.begin()
}

func (se *PendingRequest) begin() {
	if !se.begun {
		se.begun = true
		se.st.unread -= se.tokens
	}
	if se.overdue {
		se.overdue = false
		se.st.overdue--
	}
}

// MarkOverdue notes that the answer should have begun by now.
func (se *PendingRequest) MarkOverdue() {
	se.ba.mu.Lock()
	defer se.ba.mu.Unlock()
	if !se.begun && !se.overdue {
		se.overdue = true
		se.st.overdue++
	}
}

// Done notes that the request is over.
func (se *PendingRequest) Done() {
	se.ba.mu.Lock()
	defer se.ba.mu.Unlock()
	se.begin()
	if se.probe {
		se.st.probes--
	}
	se.st.inFlight--
	se.use.Running--
}

// Use counts requests of one adapter on one target: those sent since the last telling, and those that run now.
type Use struct {
	Sent    int
	Running int
}

func (st *state) use(ad Adapter) *Use {
	us, ok := st.uses[ad]
	if !ok {
		us = &Use{}
		st.uses[ad] = us
	}
	return us
}

// Unreported returns the targets to which requests went some time ago of which their holders have not been told.
func (ba *Balancer) Unreported(since time.Duration) []string {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	var untold []string
	for id, st := range ba.states {
		if !st.untoldSince.IsZero() && time.Since(st.untoldSince) >= since {
			untold = append(untold, id)
		}
	}
	return untold
}

// TakeUses returns the instance's use of a target since the last call.
func (ba *Balancer) TakeUses(target string) map[Adapter]Use {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	st, ok := ba.states[target]
	if !ok {
		return nil
	}
	st.untoldSince = time.Time{}
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
