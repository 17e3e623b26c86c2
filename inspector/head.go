// Package inspector stands between a connection and whoever reads answers from it, those of targets, of the store and
// of other instances. It bounds what the answers hold in memory before they are whole: a faulty sender may send bytes
// without end, in a head or in a body. What is held is counted, not the bytes alone, as net/http keeps each field of a
// head at some hundred bytes. The sum over all answers of a process is bounded by a budget. It also decides what the
// head of an answer is, and whether a connection has ended in order or broken.
package inspector

import (
	"errors"
)

const (
	// maxHeadBytes limits the head of an answer with all interim answers before it, in bytes, and maxHeadLines its lines.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
	// usualHeadBytes and usualHeadLines are the size up to which a head is not counted, as each request in progress
	// accounts for it.
	usualHeadBytes = 4 << 10
	usualHeadLines = 32
	// lineCost is what net/http holds of a line beside its bytes, and byteCost what it holds of a byte, as received and as
	// decoded.
	lineCost = 200
	byteCost = 2
	// reserveStep is the number of bytes that are reserved at once, at least.
	reserveStep = 4 << 10
)

var (
	// ErrHeadTooLong means that the head of an answer exceeds its limits.
	ErrHeadTooLong = errors.New("response head exceeds the size limit")
	// ErrNoMemory means that the budget of answers has no room for the rest of one.
	ErrNoMemory = errors.New("no memory for the response")
)

// Budget is the memory that all answers may hold together, in bytes. Nil functions stand for no limit.
type Budget struct {
	Reserve func(bytes int64) bool
	Release func(bytes int64)
}

// Take reserves bytes and reports whether there was room.
func (bu Budget) Take(bytes int64) bool { return bu.Reserve == nil || bu.Reserve(bytes) }

// Free releases bytes that Take has reserved.
func (bu Budget) Free(bytes int64) {
	if bu.Release != nil && bytes > 0 {
		bu.Release(bytes)
	}
}

// Head counts and checks the head of one answer at a time. It is not safe for concurrent use.
type Head struct {
	budget Budget
	// inside is true from Begin to the end of the head.
	inside   bool
	bytes    int
	lines    int
	syntax   syntax
	reserved int64
}

// NewHead returns a Head that reserves what it counts.
func NewHead(bu Budget) *Head { return &Head{budget: bu} }

// Begin starts to count the head of the next answer. What was reserved for the one before is released.
func (he *Head) Begin() {
	he.Release()
	*he = Head{budget: he.budget, inside: true}
}

// Inside reports whether a head has begun and not ended.
func (he *Head) Inside() bool { return he.inside }

// Add counts received bytes up to the end of the head. It returns ErrHeadTooLong or ErrNoMemory if they exceed a limit,
// and a MalformedError at the end of a line that is none of a head.
func (he *Head) Add(received []byte) error {
	for _, char := range received {
		if !he.inside {
			return nil
		}
		he.bytes++
		if char != '\n' {
			he.syntax.add(char)
		} else if err := he.endLine(); err != nil {
			return err
		}
		if he.bytes > maxHeadBytes || he.lines > maxHeadLines {
			return ErrHeadTooLong
		}
		if !he.reserve() {
			return ErrNoMemory
		}
	}
	return nil
}

// endLine counts and checks a line. The end of the head of an interim answer begins that of the next one.
func (he *Head) endLine() error {
	he.lines++
	ended, err := he.syntax.endLine()
	if err != nil || !ended {
		return err
	}
	he.inside = interim(he.syntax.status)
	he.syntax = syntax{}
	return nil
}

// reserve reserves what the head holds beyond the usual size.
func (he *Head) reserve() bool {
	cost := int64(byteCost*max(he.bytes-usualHeadBytes, 0) + lineCost*max(he.lines-usualHeadLines, 0))
	if cost <= he.reserved {
		return true
	}
	if !he.budget.Take(reserveStep) {
		return false
	}
	he.reserved += reserveStep
	return true
}

// Release releases what was reserved for the head, once it is no longer held.
func (he *Head) Release() {
	he.budget.Free(he.reserved)
	he.reserved = 0
}
