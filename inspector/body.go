package inspector

import (
	"encoding/json"
	"errors"
	"io"
)

// ErrTooManyElements means that a JSON text has more elements than may be held.
var ErrTooManyElements = errors.New("text has too many elements")

// ErrBodyTooLong means that a body exceeds its limit.
var ErrBodyTooLong = errors.New("response body exceeds the size limit")

// firstBody is the size of a body up to which it is not counted, in bytes.
const firstBody = 4 << 10

// Read reads a body of at most limit bytes and reserves what it holds. The caller calls release once it no longer holds the body.
func Read(body io.Reader, limit int, bu Budget) (text []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { bu.Free(reserved) }
	text = make([]byte, 0, firstBody)
	for {
		count, err := body.Read(text[len(text):cap(text)])
		text = text[:len(text)+count]
		switch {
		case errors.Is(err, io.EOF):
			return text, release, nil
		case err != nil:
			release()
			return nil, func() {}, err
		case len(text) > limit:
			release()
			return nil, func() {}, ErrBodyTooLong
		case len(text) < cap(text):
			continue
		}
		// The smaller buffer stays until the runtime collects it.
		grown := int64(2 * cap(text))
		if !bu.Take(grown) {
			release()
			return nil, func() {}, ErrNoMemory
		}
		reserved += grown
		text = append(make([]byte, 0, grown), text...)
	}
}

const (
	// maxElements is the largest number of elements of a JSON text: more than any text of a sound sender has.
	maxElements = 1 << 18
	// usualElements is the number of elements up to which a text is not counted, and elementCost what a decoded element
	// holds, in bytes.
	usualElements = 256
	elementCost   = 100
)

// Decode decodes a JSON text. An element of two bytes may hold a hundred once it is decoded, so elements are counted
// first, and what they hold is reserved while they are decoded.
func Decode(text []byte, into any, bu Budget) error {
	elements := 0
	for _, char := range text {
		if char == ',' || char == '[' || char == '{' {
			elements++
		}
	}
	if elements > maxElements {
		return ErrTooManyElements
	}
	held := int64(elementCost * max(elements-usualElements, 0))
	if held > 0 && !bu.Take(held) {
		return ErrNoMemory
	}
	defer bu.Free(held)
	return json.Unmarshal(text, into)
}
