package server

import (
	"context"
	"net/http"
	"time"

	"lovagebank/auditor"
	"lovagebank/authenticator"
	"lovagebank/batcher"
	"lovagebank/connector"
	"lovagebank/inspector"
	"lovagebank/invoker"
	"lovagebank/placer"
	"lovagebank/publisher"
	"lovagebank/receiver"
	"lovagebank/requester"
	"lovagebank/reserver"
	"lovagebank/storer"
)

const (
	// watchersPerDomain is how many instances of a failure domain watch the store for configuration.
	watchersPerDomain = 2
	watchRole         = "watch-configuration"
)

// createComponents creates the components in the order of their dependencies.
func (sv *Server) createComponents() {
	st := sv.settings
	sv.store = storer.New(storer.Options{
		Address: st.StoreURL(), Timeout: st.StoreTimeout(), CallsPerSecond: float64(st.StoreCalls()), Transport: sv.transport(),
	})
	sv.list = storer.New(storer.Options{Address: st.ListURL(), Timeout: st.StoreTimeout(), Transport: sv.transport()})
	sv.connector = connector.New(connector.Options{Secret: st.Secret(), TLS: sv.tls, Dial: sv.dial})
	sv.auditor = auditor.New(auditor.Options{Get: sv.store.Get, Transact: sv.store.Transact})
	sv.publisher = sv.newPublisher()
	sv.invoker = invoker.New(invoker.Options{
		Budget: inspector.Budget{
			Reserve: func(bytes int64) bool { return sv.reserver.Reserve(reserver.Answers, bytes) },
			Release: func(bytes int64) { sv.reserver.Release(reserver.Answers, bytes) },
		},
		FirstByteTimeout: st.Limits().SilenceTime(), TokenGapTimeout: st.Limits().SilenceTime(),
		Broken:    sv.answerBroken,
		Transport: sv.transport(), SingleUseTransport: sv.transport(),
	})
	sv.placer = placer.New(placer.Options{FailureDomain: st.FailureDomain(), Region: st.Region(), Instances: sv.regionInstances})
	sv.batcher = sv.newBatcher(batcher.DefaultInterval)
	sv.jobBatcher = sv.newBatcher(jobWriteInterval)
	sv.claimer = sv.newClaimer()
	sv.dispatcher = sv.newDispatcher()
	sv.gossiper = sv.newGossiper()
	sv.leases = sv.newLeaser()
	sv.limiter = sv.newLimiter()
	sv.limiter.SetDomains(st.FailureDomains())
	sv.schedulers = newTargetSchedulers(sv)
	sv.deferrer = sv.newDeferrer()
	sv.reserver = reserver.New(memoryBudget(st))
	sv.receiver = sv.newReceiver()
}

// answerBroken logs and counts the answer of a target that broke off or is none.
func (sv *Server) answerBroken(target string, cause error) {
	sv.reporter.AddToCounter("answers_broken", 1)
	sv.reporter.AddToCounter("answers_broken_"+string(inspector.CauseOf(cause)), 1)
	sv.loggerFor("invoker").Info("answer broken off", "target", target, "cause", cause)
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
		WatchesStore:   func() bool { return sv.gossiper.HasDuty(watchRole, watchersPerDomain) },
		OnAdopted:      sv.applyConfiguration,
		Logger:         sv.loggerFor("publisher"),
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
		FindDeferred: sv.lookupDeferred,
		OnFinished:   sv.recordFinished,
		Ready:        sv.ready,
		Admit:        func() error { return sv.listeners.requests.admit() },
		Limits: receiver.Limits{
			MaxBodyBytes:     lim.BodyBytes(),
			BodyTimeout:      lim.BodyTime(),
			WriteTimeout:     lim.CallerSilenceTime(),
			DefaultMaxTokens: lim.DefaultMaxTokens(),
			MaxTokens:        lim.MaxTokens(),
			DefaultDeadline:  lim.RequestTime(),
		},
		Reserver: sv.reserver,
		Logger:   sv.loggerFor("receiver"),
	})
}

// recordFinished counts a request that has ended and logs it if it failed with an internal error.
func (sv *Server) recordFinished(rq *requester.Request, us requester.Usage, rf *requester.Refusal, took time.Duration) {
	sv.reporter.RequestEnded(rq, us, rf, took)
	if rf != nil && rf.Code() == requester.CodeInternal {
		sv.loggerFor("receiver").Error("request failed with internal error", "request", rq.ID(), "organisation", rq.Organisation(), "cause", rf.Message())
	}
}
