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
	doneMark         = "[DONE]"
)

var dataField = []byte("data:")

// EventData returns the data of a server-sent event that has one data line; nil for a comment or an empty event.
func EventData(event []byte) []byte {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if data, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(data)
		}
	}
	return nil
}

// IsDone tells whether an event's data marks the end of a stream.
func IsDone(data []byte) bool { return string(data) == doneMark }

// CountTokens returns the tokens that a caller has after a chunk of a stream, given the count before it. Chunks that
// carry no usage count one token for each choice with content.
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

// stream checks a streamed answer event by event and passes on whole events. An end without the closing mark is a
// lost target.
func (ca *call) stream(response *http.Response, sink requester.Sink) (requester.Usage, error) {
	reader := bufio.NewReaderSize(response.Body, eventBufferBytes)
	tokens := ca.rq.ResumeFrom()
	us := ca.usage(nil, tokens)
	opened := false
	for {
		event, err := ca.readEvent(reader)
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
		ca.silence.Reset(ca.iv.options.TokenGapTimeout)
		if !opened {
			if err := sink.Head(http.StatusOK, copyListed(response.Header, forwardedToCaller)); err != nil {
				return us, errCallerGone
			}
			opened = true
		}
		if err := sink.Data(event); err != nil {
			return us, errCallerGone
		}
		if done {
			return us, nil
		}
		tokens = CountTokens(tokens, data)
		us = ca.usage(data, tokens)
	}
}

func (ca *call) checkChunk(data []byte) error {
	if !gjson.ValidBytes(data) {
		return ca.malformed()
	}
	return ca.checkModel(data)
}

// readEvent reads up to the empty line that ends an event.
func (ca *call) readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > ca.iv.options.MaxAnswerBytes:
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
