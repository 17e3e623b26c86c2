package acceptor

import (
	"errors"
	"net/http"

	"lovagebank/balancer"
	"lovagebank/forwarder"
	"lovagebank/listener"
)

// errEndUnknown means that the rest of a stream came from a further target without framing. The caller's answer has a framing of
// its own, whose end would state that the stream is whole.
var errEndUnknown = errors.New("only the end of its connection marked the end of the stream's rest")

// beginAnswer is called before the head of the caller's answer is written. An answer whose end only the connection marks is reset
// until endAnswer is called.
func (ex *exchange) beginAnswer(rs *forwarder.Response) {
	header := ex.w.Header()
	if rs.Unframed() {
		// With this value net/http adds neither a length nor chunks, removes the field and closes the connection.
		header.Set("Transfer-Encoding", "identity")
	}
	ex.unframed = rs.Unframed() || !ex.r.ProtoAtLeast(1, 1) && header.Get("Content-Length") == ""
	if co := ex.unframedConn(); co != nil {
		co.BeginUnframed()
	}
}

// endAnswer is called when the whole answer has been written. What net/http still buffers is sent before the connection may end in
// the ordinary way.
func (ex *exchange) endAnswer() {
	co := ex.unframedConn()
	if co == nil {
		return
	}
	if err := http.NewResponseController(ex.w).Flush(); err != nil {
		ex.outcome.recordError(err)
		return
	}
	co.EndUnframed()
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

// handleUnknownEnd handles the rest of a stream whose end is not known to be that of the stream.
func (ex *exchange) handleUnknownEnd(ta *balancer.Target) sendResult {
	ex.outcome.recordError(errEndUnknown)
	ex.excluded[ta.ID()] = true
	return interrupted
}
