package invoker

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/tidwall/gjson"

	"lovagebank/requester"
)

const (
	eventBufferBytes = 4 << 10
	// usualEventBytes is the size of an event up to which no memory is reserved for it.
	usualEventBytes = 16 << 10
	endMarker       = "[DONE]"
)

var dataField = []byte("data:")

// EventData returns the data of the first data line of a server-sent event, or nil if there is none, as in a comment
// or an empty event.
func EventData(event []byte) []byte {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if data, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(data)
		}
	}
	return nil
}

// IsDone reports whether an event's data is the end marker of a stream.
func IsDone(data []byte) bool { return string(data) == endMarker }

// CountTokens returns the number of tokens that a caller has received after a chunk of a stream, given the number
// before it. A chunk without a usage field counts as one token if any of its choices has content.
func CountTokens(before int64, chunk []byte) int64 {
	if count := gjson.GetBytes(chunk, "usage.completion_tokens"); count.Exists() {
		return max(before, count.Int())
	}
	for _, choice := range gjson.GetBytes(chunk, "choices").Array() {
		if choice.Get("text").String() != "" || choice.Get("delta.content").String() != "" {
			return before + 1
		}
	}
	return before
}

// forwardStream checks a streamed answer event by event and forwards only complete events. A stream that ends without
// the end marker means that the target was lost.
func (ca *call) forwardStream(response *http.Response, sink requester.Sink) (requester.Usage, error) {
	reader := bufio.NewReaderSize(response.Body, eventBufferBytes)
	tokens := ca.rq.ResumeFrom()
	us := ca.readUsage(nil, tokens)
	headSent := false
	held := int64(0)
	defer func() { ca.iv.options.Budget.Free(held) }()
	for {
		event, err := ca.readEvent(reader, &held)
		if err != nil {
			return us, err
		}
		data := EventData(event)
		if data == nil {
			continue
		}
		done := IsDone(data)
		if !done {
			if err := ca.checkChunk(data); err != nil {
				return us, err
			}
		}
		ca.silenceTimer.Reset(ca.iv.options.TokenGapTimeout)
		if !headSent {
			if err := sink.Head(http.StatusOK, copyHeaders(response.Header, forwardedToCaller)); err != nil {
				return us, errCallerLeft
			}
			headSent = true
		}
		if err := sink.Data(event); err != nil {
			return us, errCallerLeft
		}
		if done {
			return us, nil
		}
		tokens = CountTokens(tokens, data)
		us = ca.readUsage(data, tokens)
	}
}

func (ca *call) checkChunk(data []byte) error {
	if !gjson.ValidBytes(data) {
		return ca.malformedAnswer()
	}
	return ca.checkModel(data)
}

// readEvent reads one event, including the empty line that ends it. The end of the input is an unexpected EOF. held is the memory
// reserved for the longest event of the stream so far, in bytes.
func (ca *call) readEvent(reader *bufio.Reader, held *int64) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > ca.iv.options.MaxAnswerBytes || !ca.hold(cap(event), held):
			return nil, errTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) {
			return event, nil
		}
	}
}

// hold reserves memory for an event of a size, beside what is held already. It returns false if there is none.
func (ca *call) hold(size int, held *int64) bool {
	more := int64(size-usualEventBytes) - *held
	if more <= 0 {
		return true
	}
	if !ca.iv.options.Budget.Take(more) {
		return false
	}
	*held += more
	return true
}
