package acceptor

import (
	"net/http"

	"lovagebank/listener"
)

// beginAnswer is called before the head of the caller's answer is written. An answer whose end only the connection marks is reset
// until endAnswer is called.
func (ex *exchange) beginAnswer() {
	ex.unframed = !ex.r.ProtoAtLeast(1, 1) && ex.w.Header().Get("Content-Length") == ""
	if co := ex.unframedConn(); co != nil {
		co.BeginUnframed()
	}
}

// endAnswer is called when the whole answer has been written.
func (ex *exchange) endAnswer() {
	if co := ex.unframedConn(); co != nil {
		co.EndUnframed()
	}
}

// unframedConn returns the caller's connection if only its end marks the end of the answer; nil otherwise.
func (ex *exchange) unframedConn() *listener.Conn {
	if !ex.unframed {
		return nil
	}
	return listener.FromContext(ex.r.Context())
}

// abort closes the caller's connection within an answer, so that it does not look whole. It does not return.
func (ex *exchange) abort() { panic(http.ErrAbortHandler) }
