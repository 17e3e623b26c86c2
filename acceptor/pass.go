package acceptor

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"lovagebank/balancer"
	"lovagebank/forwarder"
	"lovagebank/router"
)

const (
	// wholeAnswer is the size up to which a plain answer is read whole before it is passed on, in bytes.
	wholeAnswer = 1 << 20
	// maxDrained and drainTime bound what is read of a rejection, in bytes, and for how long.
	maxDrained = 64 << 10
	drainTime  = 100 * time.Millisecond
	// copyBuffer is the size of the buffer for answers, in bytes.
	copyBuffer = 16 << 10
)

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length",
}

// drain reads the rest of an answer that is not passed on, so that its connection can be kept.
func (ex *exchange) drain(an *forwarder.Response) {
	defer time.AfterFunc(drainTime, an.Abort).Stop()
	if _, err := io.Copy(io.Discard, io.LimitReader(an, maxDrained)); err != nil {
		ex.outcome.note(err)
	}
}

// pass passes a target's answer on, or judges that another target should be tried.
func (ex *exchange) pass(ta *balancer.Target, an *forwarder.Response, sent *balancer.PendingRequest) verdict {
	failure := an.Status() >= http.StatusInternalServerError
	ex.ac.op.Balancer.Answered(ta.ID(), failure)
	if failure && ex.route.Repeatable() && ex.ran < ex.route.Attempts() && time.Until(ex.deadline) > leastTime {
		ex.excluded[ta.ID()] = true
		ex.drain(an)
		return broken
	}
	if ex.begun && an.Status() != http.StatusOK {
		ex.excluded[ta.ID()] = true
		ex.drain(an)
		return broken
	}
	if ex.route.Kind() == router.Stream && an.Status() < http.StatusMultipleChoices {
		return ex.passStream(ta, an, sent)
	}
	return ex.passWhole(ta, an, sent)
}

func (ex *exchange) passWhole(ta *balancer.Target, an *forwarder.Response, sent *balancer.PendingRequest) verdict {
	body, err := io.ReadAll(io.LimitReader(an, wholeAnswer+1))
	if err != nil {
		return ex.tornAnswer(ta, err)
	}
	if len(body) > wholeAnswer {
		return ex.passLong(an, body)
	}
	sent.AnswerBegan()
	if an.Status() < http.StatusBadRequest {
		ex.ac.op.Quarantiner.Succeeded(ex.fingerprint)
	}
	ex.copyHead(an)
	if ex.r.Method != http.MethodHead {
		ex.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	ex.writeHead(an)
	if _, err := ex.w.Write(body); err != nil {
		ex.outcome.note(err)
	}
	return finished
}

// tornAnswer judges an answer that ended before its end.
func (ex *exchange) tornAnswer(ta *balancer.Target, err error) verdict {
	ex.outcome.note(err)
	ex.excluded[ta.ID()] = true
	if ex.ctx.Err() == nil {
		ex.ac.op.Balancer.ConnectionFailed(ta.ID(), false)
		ex.ac.op.Quarantiner.Crashed(ex.fingerprint)
	}
	return broken
}

// passLong passes on an answer that is too long to be kept; it breaks the caller's connection where the target breaks
// off.
func (ex *exchange) passLong(an *forwarder.Response, begin []byte) verdict {
	ex.copyHead(an)
	ex.writeHead(an)
	ex.begun = true
	if _, err := ex.w.Write(begin); err != nil {
		ex.outcome.note(err)
		return finished
	}
	if _, err := io.Copy(ex.w, an); err != nil {
		ex.outcome.note(err)
		panic(http.ErrAbortHandler)
	}
	return finished
}

func (ex *exchange) copyHead(an *forwarder.Response) {
	header := ex.w.Header()
	closing := header.Get("Connection")
	for name, values := range an.Header() {
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

func (ex *exchange) writeHead(an *forwarder.Response) {
	ex.w.WriteHeader(an.Status())
	ex.outcome.status = an.Status()
	ex.outcome.firstAt = time.Now()
}

// passStream passes events on as they arrive. Only whole events are passed on where the stream may be resumed.
func (ex *exchange) passStream(ta *balancer.Target, an *forwarder.Response, sent *balancer.PendingRequest) verdict {
	scanner := &eventScanner{whole: ex.route.Resumable()}
	buffer := make([]byte, copyBuffer)
	for {
		count, err := an.Read(buffer)
		if count > 0 {
			sent.AnswerBegan()
			ex.learnArrival(time.Now())
			if !ex.passEvents(an, scanner.add(buffer[:count])) {
				return finished
			}
			if scanner.tooLong() {
				return ex.tornAnswer(ta, errLongEvent)
			}
			ex.outcome.pace.passedOn(time.Now())
			ex.noteEvents(scanner)
		}
		if errors.Is(err, io.EOF) {
			return ex.endStream(an, scanner)
		}
		if err != nil {
			return ex.tornAnswer(ta, err)
		}
	}
}

func (ex *exchange) noteEvents(scanner *eventScanner) {
	if scanner.lastID != "" {
		ex.lastEvent = scanner.lastID
	}
	ex.outcome.events = scanner.events
}

// endStream ends a stream that its target has ended.
func (ex *exchange) endStream(an *forwarder.Response, scanner *eventScanner) verdict {
	ex.ac.op.Quarantiner.Succeeded(ex.fingerprint)
	ex.learnEnd()
	ex.begin(an)
	ex.passEvents(an, scanner.rest())
	return finished
}

// begin passes on the head of a stream's first answer.
func (ex *exchange) begin(an *forwarder.Response) {
	if ex.begun {
		return
	}
	ex.begun = true
	ex.copyHead(an)
	ex.writeHead(an)
}

// passEvents writes and flushes bytes of a stream; false where the caller is gone.
func (ex *exchange) passEvents(an *forwarder.Response, bytes []byte) bool {
	if len(bytes) == 0 {
		return true
	}
	ex.begin(an)
	if _, err := ex.w.Write(bytes); err != nil {
		ex.outcome.note(err)
		return false
	}
	if err := http.NewResponseController(ex.w).Flush(); err != nil {
		ex.outcome.note(err)
		return false
	}
	return true
}
