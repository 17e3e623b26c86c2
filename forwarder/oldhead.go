package forwarder

import (
	"bytes"
	"errors"
	"net/http"
	"slices"
)

// oldProtocol begins a response of HTTP/1.0, which knows no transfer encodings.
const oldProtocol = "HTTP/1.0 "

// errOldEncoding means that a response of HTTP/1.0 names a transfer encoding, so that it is not known where its body ends. net/http
// ignores the field and takes the encoded bytes for the body.
var errOldEncoding = errors.New("response of HTTP/1.0 with a transfer encoding")

var (
	headEnds      = [][]byte{[]byte("\r\n\r\n"), []byte("\n\n")}
	encodingField = []byte("transfer-encoding:")
)

// readResponse reads the head of a response.
func (co *connection) readResponse(method string) (*http.Response, error) {
	start, err := co.reader.Peek(len(oldProtocol))
	if err != nil {
		return nil, err
	}
	if string(start) == oldProtocol && co.namesEncoding() {
		return nil, errOldEncoding
	}
	return http.ReadResponse(co.reader, &http.Request{Method: method})
}

// namesEncoding reports whether the head that begins at the reader's position has the field Transfer-Encoding. It looks as far as the
// reader's buffer goes.
func (co *connection) namesEncoding() bool {
	for size := co.reader.Buffered(); ; size = max(size+1, co.reader.Buffered()) {
		head, err := co.reader.Peek(size)
		ended := slices.ContainsFunc(headEnds, func(end []byte) bool {
			at := bytes.Index(head, end)
			if at >= 0 {
				head = head[:at]
			}
			return at >= 0
		})
		if !ended && err == nil {
			continue
		}
		return bytes.Contains(bytes.ToLower(head), append([]byte("\n"), encodingField...))
	}
}
