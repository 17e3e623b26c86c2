package allotter

import "time"

// Decision tells whether a request was admitted; if not, when to come back, and what decided it.
type Decision struct {
	admitted bool
	wait     time.Duration
	left     float64
	part     float64
	spent    float64
	peers    int
}

// Admitted tells whether the request may run.
func (de Decision) Admitted() bool { return de.admitted }

// Wait is when a refused request may come back.
func (de Decision) Wait() time.Duration { return de.wait }

// Remaining is what the whole fleet was believed to have left of the allowance, in tokens.
func (de Decision) Remaining() float64 { return de.left }

// Share is what of it this instance may spend until the others have been told, and Spent what it has spent of that.
func (de Decision) Share() float64 { return de.part }

// Unreported is what this instance has admitted that the others may not have been told of.
func (de Decision) Unreported() float64 { return de.spent }

// Peers is the number of other instances that share the allowance.
func (de Decision) Peers() int { return de.peers }
