// Package inspector bounds what the answers of targets and of the store hold in memory before they are whole: a faulty
// sender may send bytes without end, in a head or in a body. What is held is counted, not the bytes alone, as net/http
// keeps each field of a head at some hundred bytes. The sum over all answers of a process is bounded by a budget.
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
	// statusStart and statusEnd bound the code in a status line: HTTP/1.1 200 OK.
	statusStart, statusEnd = 9, 12
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

// Head counts the head of one answer at a time. It is not safe for concurrent use.
type Head struct {
	budget Budget
	// inside is true from Begin to the end of the head.
	inside bool
	bytes  int
	lines  int
	// line holds the begin of the current line, as far as a status line needs it, and length the line's length so far.
	line   [statusEnd]byte
	length int
	// interim is true if the head being read is that of an interim answer; first is true in its first line.
	interim  bool
	first    bool
	reserved int64
}

// NewHead returns a Head that reserves what it counts.
func NewHead(bu Budget) *Head { return &Head{budget: bu} }

// Begin starts to count the head of the next answer. What was reserved for the one before is released.
func (he *Head) Begin() {
	he.Release()
	*he = Head{budget: he.budget, inside: true, first: true}
}

// Inside reports whether a head has begun and not ended.
func (he *Head) Inside() bool { return he.inside }

// Add counts received bytes up to the end of the head. It returns ErrHeadTooLong or ErrNoMemory if they exceed a limit.
func (he *Head) Add(received []byte) error {
	for _, char := range received {
		if !he.inside {
			return nil
		}
		he.bytes++
		if char == '\n' {
			he.endLine()
		} else if char != '\r' {
			if he.length < len(he.line) {
				he.line[he.length] = char
			}
			he.length++
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

// endLine counts a line. An empty one ends the head, or that of an interim answer, after which another head follows.
func (he *Head) endLine() {
	he.lines++
	switch {
	case he.first:
		he.interim = he.length >= statusEnd && he.line[statusStart] == '1'
		he.first = false
	case he.length == 0 && he.interim:
		he.first = true
	case he.length == 0:
		he.inside = false
	}
	he.length = 0
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
