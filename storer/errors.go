package storer

import (
	"errors"
	"fmt"
)

// The errors of calls, distinguished by errors.Is. ErrConflict and ErrUnavailable wrap ErrRefused; ErrOverBudget wraps
// ErrUnavailable.
var (
	// ErrNotFound means that the key or session does not exist.
	ErrNotFound = errors.New("not found in the store")
	// ErrRefused means that the call had no effect.
	ErrRefused = errors.New("refused by the store")
	// ErrConflict means that a compare-and-swap, check or lock failed because the key was changed or locked. A new read
	// returns the current entry.
	ErrConflict = fmt.Errorf("compare-and-swap lost: %w", ErrRefused)
	// ErrUnavailable means that the call had no effect because the store was not reached in time or is overloaded.
	ErrUnavailable = fmt.Errorf("store unavailable: %w", ErrRefused)
	// ErrOverBudget means that the instance has used up its budget of calls; the call was not sent.
	ErrOverBudget = fmt.Errorf("call budget used up: %w", ErrUnavailable)
	// ErrUnknown means that a write may have taken effect or may still take effect.
	ErrUnknown = errors.New("unknown whether the store took the write")
)
