package inspector

import (
	"errors"
	"io"
	"net/http"
)

// trailedBody is a body in chunks, whose end is none if a malformed trailer follows it.
type trailedBody struct {
	io.ReadCloser
	answer *http.Response
	// broke is called if the trailer is malformed.
	broke func()
}

// CheckTrailer makes the body of an answer fail at its end with a MalformedError if its trailer is malformed. broke is
// called then.
func CheckTrailer(answer *http.Response, broke func()) {
	if len(answer.TransferEncoding) > 0 {
		answer.Body = trailedBody{answer.Body, answer, broke}
	}
}

// Read reads the body.
func (tb trailedBody) Read(into []byte) (int, error) {
	count, err := tb.ReadCloser.Read(into)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if malformed := CheckFields(tb.answer.Trailer); malformed != nil {
		tb.broke()
		return count, malformed
	}
	return count, err
}
