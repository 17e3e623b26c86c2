package server

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/http"

	"lovagebank/deferrer"
	"lovagebank/receiver"
	"lovagebank/requester"
	"lovagebank/wire"
)

func (sv *Server) newDeferrer() *deferrer.Deferrer {
	return deferrer.New(deferrer.Options{
		Instance:     sv.identity,
		Get:          sv.store.Get,
		List:         sv.store.List,
		Commit:       sv.jobBatcher.Commit,
		DeletePrefix: sv.store.DeletePrefix,
		Members:      sv.liveMembers,
		Departed:     sv.memberGone,
		Invoke:       sv.runDeferred,
		Nonce:        rand.Text,
		Retention:    sv.settings.Limits().AnswerTime(),
	})
}

// runDeferred runs a deferred request as one of a caller, from its charge to its answer.
func (sv *Server) runDeferred(ctx context.Context, rq *requester.Request) (*wire.Answer, error) {
	ctx, _ = sv.explainer.StartTrace(ctx, rq)
	settle, err := sv.charge(ctx, rq)
	if err != nil {
		return nil, err
	}
	an := &collectedAnswer{}
	us, err := sv.dispatch(ctx, rq, requester.Sink{Head: an.head, Data: an.data})
	settle(requester.ChargedTokens(rq, us, err))
	if err != nil {
		return nil, err
	}
	return an.answer(), nil
}

// collectedAnswer gathers an answer that is stored.
type collectedAnswer struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func (ca *collectedAnswer) head(status int, header http.Header) error {
	ca.status, ca.header = status, header
	return nil
}

func (ca *collectedAnswer) data(chunk []byte) error {
	_, err := ca.body.Write(chunk)
	return err
}

func (ca *collectedAnswer) answer() *wire.Answer {
	an := &wire.Answer{Status: int32(ca.status), Body: ca.body.Bytes()}
	for name, values := range ca.header {
		for _, value := range values {
			an.Headers = append(an.Headers, &wire.AnswerHeader{Name: name, Value: value})
		}
	}
	return an
}

// lookDeferred returns the state of a deferred request.
func (sv *Server) lookDeferred(ctx context.Context, organisation, id string) (receiver.Deferred, error) {
	st, err := sv.deferrer.Lookup(ctx, organisation, id)
	if err != nil {
		return receiver.Deferred{}, err
	}
	if rf := st.Refusal(); rf != nil {
		return receiver.Deferred{}, rf
	}
	an := st.Answer()
	if an == nil {
		return receiver.NewPending(st.RetryAfter()), nil
	}
	header := make(http.Header)
	for _, field := range an.GetHeaders() {
		header.Add(field.GetName(), field.GetValue())
	}
	return receiver.NewFinished(int(an.GetStatus()), header, an.GetBody()), nil
}

// settleJobs waits for the deferred requests that run, and gives the others back.
func (sv *Server) settleJobs(ctx context.Context) {
	sv.stopJobs()
	select {
	case <-sv.deferrer.Done():
	case <-ctx.Done():
		sv.deferrer.Close()
	}
}
