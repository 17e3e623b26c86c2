package acceptor

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lovagebank/balancer"
	"lovagebank/forwarder"
	"lovagebank/reserver"
	"lovagebank/router"
)

const (
	// maxBufferedBody is the size up to which a non-streaming response is read completely before it is relayed, in bytes.
	maxBufferedBody = 1 << 20
	// maxDrainedBytes and drainTime limit the bytes read from a response that is not relayed, and the time spent on it.
	maxDrainedBytes = 64 << 10
	drainTime       = 100 * time.Millisecond
	// copyBufferSize is the size of the buffer for relayed streams, in bytes.
	copyBufferSize = 16 << 10
)

// connectionHeaders are the headers that concern a single connection. They are not relayed.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length",
}

// drain reads the rest of a response that is not relayed, so that its connection can be reused.
func (ex *exchange) drain(rs *forwarder.Response) {
	defer time.AfterFunc(drainTime, rs.Abort).Stop()
	if _, err := io.Copy(io.Discard, io.LimitReader(rs, maxDrainedBytes)); err != nil {
		ex.outcome.recordError(err)
	}
}

// relay relays a target's response, or decides that another target should be tried.
func (ex *exchange) relay(ta *balancer.Target, rs *forwarder.Response, sent *balancer.PendingRequest) sendResult {
	failure := rs.Status() >= http.StatusInternalServerError
	ex.ac.op.Balancer.Answered(ta.ID(), failure)
	if failure && ex.route.Repeatable() && ex.ran < ex.route.Attempts() && time.Until(ex.deadline) > minSendTime {
		ex.excluded[ta.ID()] = true
		ex.drain(rs)
		return interrupted
	}
	if !ex.joins(rs) {
		ex.drain(rs)
		return ex.handleNotTheRest(ta)
	}
	if ex.route.Kind() == router.Stream && rs.Status() < http.StatusMultipleChoices {
		return ex.relayStream(ta, rs, sent)
	}
	return ex.relayBuffered(ta, rs, sent)
}

func (ex *exchange) relayBuffered(ta *balancer.Target, rs *forwarder.Response, sent *balancer.PendingRequest) sendResult {
	rb := &responseBuffer{ex: ex}
	defer rb.release()
	whole, err := rb.read(rs)
	if err != nil {
		return ex.handleTruncation(ta, err)
	}
	rb.beginWrite(whole)
	body := rb.data
	if !whole {
		return ex.relayUnbuffered(ta, rs, body, sent)
	}
	sent.AnswerBegan()
	if rs.Status() < http.StatusBadRequest {
		ex.ac.op.Quarantiner.Succeeded(ex.fingerprint)
		ex.recordBegun(time.Now(), true)
	}
	ex.copyHeader(rs)
	if ex.r.Method != http.MethodHead && !rs.Unframed() {
		ex.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	ex.writeHeader(rs)
	if _, err := ex.w.Write(body); err != nil {
		ex.outcome.recordError(err)
		return finished
	}
	ex.endAnswer()
	return finished
}

// handleTruncation handles a response that broke off before its end.
func (ex *exchange) handleTruncation(ta *balancer.Target, err error) sendResult {
	ex.outcome.recordError(err)
	ex.excluded[ta.ID()] = true
	if ex.blames(err) {
		ex.connectionFailed(ta, false)
		ex.recordBroken(ta, err)
	}
	return interrupted
}

// relayUnbuffered relays a response that is too long to buffer. It aborts the caller's connection if the response breaks
// off.
func (ex *exchange) relayUnbuffered(
	ta *balancer.Target, rs *forwarder.Response, buffered []byte, sent *balancer.PendingRequest,
) sendResult {
	ex.copyHeader(rs)
	ex.writeHeader(rs)
	ex.headSent = true
	ra := ex.newReadAhead(rs, sent)
	defer ra.close()
	w := ra.writer(ex.w)
	if _, err := w.Write(buffered); err != nil {
		ex.outcome.recordError(err)
		return finished
	}
	if _, err := io.Copy(w, ra.reader(rs)); err != nil {
		ex.outcome.recordError(err)
		if rs.Failed() && ex.blames(err) {
			ex.reportBroken(ta, err)
		}
		ex.abort()
	}
	ex.endAnswer()
	return finished
}

func (ex *exchange) copyHeader(rs *forwarder.Response) {
	header := ex.w.Header()
	closing := header.Get("Connection")
	for name, values := range rs.Header() {
		header[name] = values
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil
	}
}

func (ex *exchange) writeHeader(rs *forwarder.Response) {
	ex.beginAnswer(rs)
	ex.w.WriteHeader(rs.Status())
	ex.outcome.status = rs.Status()
	ex.outcome.firstAt = time.Now()
}

// relayStream relays events as they arrive. In a resumable stream it relays complete events only.
func (ex *exchange) relayStream(ta *balancer.Target, rs *forwarder.Response, sent *balancer.PendingRequest) sendResult {
	if err := ex.beginStream(ta, rs); err != nil {
		ex.outcome.recordError(err)
		return interrupted
	}
	ex.ahead = ex.newReadAhead(rs, sent)
	defer ex.ahead.close()
	source := ex.ahead.reader(rs)
	scanner := ex.newEventScanner()
	defer scanner.giveBack()
	buffer := make([]byte, copyBufferSize)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			sent.AnswerBegan()
			ex.recordBegun(time.Now(), false)
			if !ex.ahead.buffering() {
				ex.recordArrival(time.Now())
			}
			if !ex.writeEvents(rs, scanner.add(buffer[:count])) {
				return finished
			}
			if scanner.tooLong() {
				return ex.handleTruncation(ta, errEventTooLong)
			}
			if scanner.repeats {
				return ex.handleNotTheRest(ta)
			}
			ex.outcome.timing.relayed(time.Now())
			ex.recordEvents(scanner)
		}
		if errors.Is(err, io.EOF) {
			if brokenOff(rs, scanner) {
				return ex.handleTruncation(ta, errInsideEvent)
			}
			if rs.Unframed() && ex.headSent && !ex.unframed {
				return ex.handleUnknownEnd(ta)
			}
			return ex.endStream(rs, scanner)
		}
		if errors.Is(err, errSlowCaller) {
			return ex.abortSlowCaller()
		}
		if err != nil {
			return ex.handleTruncation(ta, err)
		}
	}
}

func (ex *exchange) newEventScanner() *eventScanner {
	re := ex.ac.op.Reserver
	return &eventScanner{
		wholeOnly: ex.route.Resumable(), after: ex.lastKnownEvent(),
		reserve: func(bytes int64) bool { return re.Reserve(reserver.Answers, bytes) },
		release: func(bytes int64) { re.Release(reserver.Answers, bytes) },
	}
}

// brokenOff reports whether a stream whose body has ended was broken off by its target: it ends inside an event, or it has no
// event and its end is the end of the connection.
func brokenOff(rs *forwarder.Response, scanner *eventScanner) bool {
	events := strings.HasPrefix(rs.Header().Get("Content-Type"), "text/event-stream")
	return (events || rs.Unframed()) && scanner.insideEvent() || rs.Unframed() && scanner.empty()
}

func (ex *exchange) recordEvents(scanner *eventScanner) {
	if scanner.lastID != "" {
		ex.lastEventID = scanner.lastID
	}
	ex.anonymous = ex.anonymous || scanner.anonymous
	ex.outcome.events = scanner.events
}

// endStream completes a stream that its target has ended.
func (ex *exchange) endStream(rs *forwarder.Response, scanner *eventScanner) sendResult {
	ex.ac.op.Quarantiner.Succeeded(ex.fingerprint)
	ex.recordBegun(time.Now(), true)
	ex.recordStreamEnd()
	ex.writeStreamHeader(rs)
	if ex.writeEvents(rs, scanner.rest()) {
		ex.endAnswer()
	}
	return finished
}

// writeStreamHeader relays the header of a stream's first response. Further calls do nothing.
func (ex *exchange) writeStreamHeader(rs *forwarder.Response) {
	if ex.headSent {
		return
	}
	ex.headSent, ex.streamHead = true, newStreamHead(rs)
	ex.copyHeader(rs)
	ex.writeHeader(rs)
}

// writeEvents writes and flushes bytes of a stream. It returns false if the caller has disconnected.
func (ex *exchange) writeEvents(rs *forwarder.Response, bytes []byte) bool {
	if len(bytes) == 0 {
		return true
	}
	ex.ahead.writeBegins()
	defer ex.ahead.writeEnds()
	ex.writeStreamHeader(rs)
	if _, err := ex.w.Write(bytes); err != nil {
		ex.outcome.recordError(err)
		return false
	}
	if err := http.NewResponseController(ex.w).Flush(); err != nil {
		ex.outcome.recordError(err)
		return false
	}
	return true
}
