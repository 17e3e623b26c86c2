package storer

import (
	"errors"
	"fmt"
)

// The errors of calls, told apart by errors.Is. ErrConflict and ErrUnavailable are kinds of ErrRefused.
var (
	// ErrNotFound means that the key or session does not exist.
	ErrNotFound = errors.New("not found in the store")
	// ErrRefused means that the call took no effect.
	ErrRefused = errors.New("refused by the store")
	// ErrConflict means that a compare-and-swap, check or lock lost; a fresh read shows to whom.
	ErrConflict = fmt.Errorf("compare-and-swap lost: %w", ErrRefused)
	// ErrUnavailable means that the call took no effect because the store was not reached in time or is overloaded.
	ErrUnavailable = fmt.Errorf("store unavailable: %w", ErrRefused)
	// ErrOverBudget means that the instance's budget of calls is used up; the call was not sent.
	ErrOverBudget = fmt.Errorf("call budget used up: %w", ErrUnavailable)
	// ErrUnknown means that a write may have taken effect, or may still do so.
	ErrUnknown = errors.New("unknown whether the store took the write")
)
