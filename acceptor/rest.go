package acceptor

import (
	"errors"
	"mime"

	"lovagebank/balancer"
	"lovagebank/forwarder"
)

// errNotTheRest means that a target has answered with something else than the rest of a stream that has begun: another status, another
// type, or events that the caller has already.
var errNotTheRest = errors.New("the answer is not the rest of the stream")

// streamHead is what the answers of all targets that a stream comes from have in common.
type streamHead struct {
	status    int
	mediaType string
	encoding  string
}

func newStreamHead(rs *forwarder.Response) streamHead {
	header := rs.Header()
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	if err != nil {
		mediaType = header.Get("Content-Type")
	}
	return streamHead{status: rs.Status(), mediaType: mediaType, encoding: header.Get("Content-Encoding")}
}

// joins reports whether an answer may go on with the stream that has begun, by its head; true if none has.
func (ex *exchange) joins(rs *forwarder.Response) bool {
	return !ex.headSent || newStreamHead(rs) == ex.streamHead
}

// handleNotTheRest handles an answer that must not be joined to the stream. The target is not blamed for a crash.
func (ex *exchange) handleNotTheRest(ta *balancer.Target) sendResult {
	ex.outcome.recordError(errNotTheRest)
	ex.excluded[ta.ID()] = true
	return interrupted
}

// lastKnownEvent returns the ID of the last event of the stream that the caller has; empty for none.
func (ex *exchange) lastKnownEvent() string {
	if ex.lastEventID != "" {
		return ex.lastEventID
	}
	return ex.caller.LastEvent
}

// mayGoOn reports whether a further target may be asked for the rest of the request's answer: the route allows it, and the rest can be
// named.
func (ex *exchange) mayGoOn() bool {
	return ex.route.Repeatable() && ex.ran < ex.route.Attempts() && !ex.anonymous && !ex.mayCrashTargets()
}
