package server

import (
	"context"
	"net/http"
	"time"

	"lovagebank/auditor"
	"lovagebank/authenticator"
	"lovagebank/batcher"
	"lovagebank/connector"
	"lovagebank/invoker"
	"lovagebank/placer"
	"lovagebank/publisher"
	"lovagebank/receiver"
	"lovagebank/requester"
	"lovagebank/storer"
)

const (
	// watchersPerDomain is how many instances of a failure domain watch the store for configuration.
	watchersPerDomain = 2
	watchDuty         = "watch-configuration"
)

// build makes the parts, those that others need first.
func (sv *Server) build() {
	st := sv.settings
	sv.store = storer.New(storer.Options{Address: st.StoreURL(), Timeout: st.StoreTimeout(), CallsPerSecond: float64(st.StoreCalls()), Transport: sv.transport()})
	sv.list = storer.New(storer.Options{Address: st.ListURL(), Timeout: st.StoreTimeout(), Transport: sv.transport()})
	sv.connector = connector.New(connector.Options{Secret: st.Secret(), TLS: sv.tls, Dial: sv.dial})
	sv.auditor = auditor.New(auditor.Options{Get: sv.store.Get, Transact: sv.store.Transact})
	sv.publisher = sv.newPublisher()
	sv.invoker = invoker.New(invoker.Options{
		FirstByteTimeout: st.Limits().SilenceTime(), TokenGapTimeout: st.Limits().SilenceTime(),
		Transport: sv.transport(), SingleUseTransport: sv.transport(),
	})
	sv.placer = placer.New(placer.Options{FailureDomain: st.FailureDomain(), Region: st.Region(), Instances: sv.instancesNear})
	sv.batcher = sv.newBatcher(batcher.DefaultInterval)
	sv.jobBatcher = sv.newBatcher(jobWriteInterval)
	sv.claimer = sv.newClaimer()
	sv.dispatcher = sv.newDispatcher()
	sv.gossiper = sv.newGossiper()
	sv.leases = sv.newLeaser()
	sv.limiter = sv.newLimiter()
	sv.limiter.SetDomains(st.FailureDomains())
	sv.holdings = newHoldings(sv)
	sv.deferrer = sv.newDeferrer()
	sv.receiver = sv.newReceiver()
}

func (sv *Server) newPublisher() *publisher.Publisher {
	return publisher.New(publisher.Options{
		Get:            sv.store.Get,
		Watch:          sv.store.Watch,
		Transact:       sv.store.Transact,
		AuditStep:      sv.auditor.AppendStep,
		SweepAudit:     sv.auditor.Sweep,
		FindAuditEntry: sv.auditor.Entry,
		Fetch:          sv.fetch,
		Peers:          func() []string { return sv.gossiper.Addresses() },
		WatchesStore:   func() bool { return sv.gossiper.HasDuty(watchDuty, watchersPerDomain) },
		OnAdopted:      sv.adopt,
		Logger:         sv.prefixed("publisher"),
	})
}

func (sv *Server) newReceiver() *receiver.Receiver {
	lim := sv.settings.Limits()
	au := authenticator.New(sv.publisher.Current)
	return receiver.New(receiver.Options{
		Snapshot: sv.publisher.Current,
		Authenticate: func(header http.Header) (string, error) {
			id, err := au.Authenticate(header)
			return id.Organisation(), err
		},
		StartTrace: func(ctx context.Context, rq *requester.Request) context.Context {
			ctx, _ = sv.explainer.StartTrace(ctx, rq)
			return ctx
		},
		Charge:       sv.charge,
		Dispatch:     sv.dispatch,
		Defer:        sv.deferrer.Accept,
		FindDeferred: sv.lookDeferred,
		OnFinished:   sv.finished,
		Ready:        sv.ready,
		Limits: receiver.Limits{
			MaxBodyBytes:     lim.BodyBytes(),
			BodyTimeout:      lim.BodyTime(),
			WriteTimeout:     lim.CallerSilenceTime(),
			DefaultMaxTokens: lim.DefaultMaxTokens(),
			MaxTokens:        lim.MaxTokens(),
			DefaultDeadline:  lim.RequestTime(),
		},
		Logger: sv.prefixed("receiver"),
	})
}

// finished counts a request and logs those that failed inside.
func (sv *Server) finished(rq *requester.Request, us requester.Usage, rf *requester.Refusal, took time.Duration) {
	sv.reporter.RequestEnded(rq, us, rf, took)
	if rf != nil && rf.Code() == requester.CodeInternal {
		sv.prefixed("receiver").Error("Request failed inside.", "request", rq.ID(), "organisation", rq.Organisation(), "cause", rf.Message())
	}
}
