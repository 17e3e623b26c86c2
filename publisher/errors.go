package publisher

import (
	"errors"
	"fmt"
)

// The errors of a proposal besides *Conflict and configurer.Faults, told apart by errors.Is.
var (
	// ErrNotAccepted means that the change took no effect, because the store could not be reached.
	ErrNotAccepted = errors.New("the change was not accepted: the store cannot be reached")
	// ErrUnknown means that the change may have been accepted. Sending it again with the same change id resolves it.
	ErrUnknown = errors.New("unknown whether the change was accepted; send it again with the same change id")
	// ErrChangeReused means that another change was accepted under the same change id.
	ErrChangeReused = errors.New("another change was accepted under the same change id")
	// ErrStoreBehind means that the store holds an older revision than the one in force. The change took no effect.
	ErrStoreBehind = errors.New("the change was not accepted: the store holds an older revision than the one in force")
	// ErrNotReady means that no configuration is known yet.
	ErrNotReady = errors.New("no configuration is known yet")

	errPartGone = errors.New("a stored part is gone; the manifest was replaced")
)

// Conflict means that the change took no effect, because another one was accepted since its base.
type Conflict struct {
	base     uint64
	revision uint64
	winner   string
	changeID string
}

// Error names the winner.
func (cf *Conflict) Error() string {
	return fmt.Sprintf("the change was not accepted: it starts from revision %d, but %s made revision %d (change %s)",
		cf.base, cf.winner, cf.revision, cf.changeID)
}

// Base returns the revision that the lost change started from.
func (cf *Conflict) Base() uint64 { return cf.base }

// Revision returns the latest accepted revision.
func (cf *Conflict) Revision() uint64 { return cf.revision }

// Winner returns who made that revision.
func (cf *Conflict) Winner() string { return cf.winner }

// ChangeID returns the change that made that revision.
func (cf *Conflict) ChangeID() string { return cf.changeID }
