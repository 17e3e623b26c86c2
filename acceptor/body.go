package acceptor

import (
	"errors"
	"net/http"

	"lovagebank/collector"
	"lovagebank/reserver"
)

// RefuseFields refuses a request whose header has too many fields.
func (ac *Acceptor) RefuseFields(w http.ResponseWriter, r *http.Request) {
	ex := ac.newExchange(w, r)
	defer ac.op.RequestEnded(ex.outcome)
	ex.refuse(refusedManyFields)
}

// readBody reads the request's body, of at most limit bytes, within the budget of the Reserver. A limit of 0 stands for
// defaultMaxBody.
func (ex *exchange) readBody(limit int64) *refusal {
	if ex.r.ContentLength == 0 {
		return nil
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	read, err := collector.Read(ex.w, ex.r, collector.Options{Reserver: ex.ac.op.Reserver, Limit: limit, Deadline: ex.deadline})
	switch {
	case errors.Is(err, collector.ErrTooLarge):
		return refusedTooLarge
	case errors.Is(err, collector.ErrStalled):
		return refusedSlowBody
	case errors.Is(err, collector.ErrNoMemory):
		return refusedNoMemory
	case err != nil:
		ex.outcome.recordError(err)
		return refusedPartialBody
	}
	ex.read, ex.body, ex.hasBody = read, read.Data(), true
	return nil
}

// workingBytes is the memory, in bytes, of a request in progress beside its body: the copy of its header and the buffer of its
// response.
const workingBytes = 16 << 10

// reserveWork reserves the memory that the request needs while it is in progress.
func (ex *exchange) reserveWork() *refusal {
	if !ex.ac.op.Reserver.Reserve(reserver.Requests, workingBytes) {
		return refusedNoMemory
	}
	ex.working = workingBytes
	return nil
}

// release releases the memory of the request at its end.
func (ex *exchange) release() {
	if ex.read != nil {
		ex.read.Release()
	}
	if ex.working > 0 {
		ex.ac.op.Reserver.Release(reserver.Requests, ex.working)
	}
}
