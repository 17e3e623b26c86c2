package allotter

import "time"

// Decision is the result of Charge: whether a request was admitted and, if not, when to retry it and the values that
// led to the refusal.
type Decision struct {
	admitted   bool
	wait       time.Duration
	remaining  float64
	share      float64
	unreported float64
	peers      int
}

// Admitted reports whether the request may run.
func (de Decision) Admitted() bool { return de.admitted }

// Wait returns the time after which a refused request may be retried.
func (de Decision) Wait() time.Duration { return de.wait }

// Remaining returns the estimated tokens that the whole fleet had left of the quota.
func (de Decision) Remaining() float64 { return de.remaining }

// Share returns the tokens that this instance may spend until its peers have its next update.
func (de Decision) Share() float64 { return de.share }

// Unreported returns the tokens that this instance has admitted of Share: those that its peers may not know of yet.
func (de Decision) Unreported() float64 { return de.unreported }

// Peers returns the number of other instances that share the quota.
func (de Decision) Peers() int { return de.peers }
