package inspector

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// Cause is why an answer is not whole, as it appears in the names of metrics.
type Cause string

// The causes.
const (
	// CauseMalformed answers have a head or a trailer that the protocol does not allow.
	CauseMalformed Cause = "malformed"
	// CauseReset answers end with a reset of their connection, or with no sign of life from its other side (CauseSilent).
	CauseReset  Cause = "reset"
	CauseSilent Cause = "silent"
	// CauseTruncated answers end in order within the head, a body of known length or the chunks.
	CauseTruncated Cause = "truncated"
	// CauseOversized answers exceed a limit or the memory for answers.
	CauseOversized Cause = "oversized"
	CauseOther     Cause = "other"
)

// CauseOf returns why reading an answer has failed.
func CauseOf(err error) Cause {
	var malformed MalformedError
	switch {
	case errors.As(err, &malformed):
		return CauseMalformed
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, os.ErrDeadlineExceeded):
		return CauseSilent
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, ErrConnectionBroke):
		return CauseReset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return CauseTruncated
	case errors.Is(err, ErrHeadTooLong), errors.Is(err, ErrBodyTooLong), errors.Is(err, ErrTooManyElements),
		errors.Is(err, ErrNoMemory):
		return CauseOversized
	default:
		return CauseOther
	}
}
