package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"lovagebank/connector"
	"lovagebank/requester"
	"lovagebank/wire"
	"lovagebank/wire/wireconnect"
)

// peerHandler serves the RPCs of other instances. Each call is passed directly to its component.
type peerHandler struct {
	server *Server
}

// newPeerHandler returns the handler of the peers' listener.
func (sv *Server) newPeerHandler() http.Handler {
	guard := connector.NewGuard(sv.settings.Secret(), sv.tls != nil)
	ph := &peerHandler{server: sv}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewExecutionServiceHandler(ph, guard))
	mux.Handle(wireconnect.NewLimitServiceHandler(ph, guard))
	mux.Handle(wireconnect.NewLeaseServiceHandler(ph, guard))
	mux.Handle(wireconnect.NewClaimServiceHandler(ph, guard))
	mux.Handle(wireconnect.NewConfigurationServiceHandler(ph, guard))
	mux.Handle(wireconnect.NewMembershipServiceHandler(ph, guard))
	return mux
}

// Execute runs a request on a target that this instance holds.
func (ph *peerHandler) Execute(ctx context.Context, call *connect.Request[wire.ExecuteRequest], stream *connect.ServerStream[wire.ExecuteResponse]) error {
	steps := newStepSender(stream)
	defer steps.close()
	rq := requestFromWire(call.Msg)
	ctx, cancel := context.WithDeadline(ctx, rq.Deadline())
	defer cancel()
	us, err := ph.server.schedulers.submit(ctx, call.Msg.GetTarget(), rq, steps.sink())
	report := ph.server.schedulers.reportWithEndingRequest(call.Msg.GetTarget())
	if rf := requester.AsRefusal(err); rf != nil {
		failure := failureToWire(rf)
		failure.Report = report
		return steps.send(&wire.ExecuteResponse{Step: &wire.ExecuteResponse_Failure{Failure: failure}})
	}
	end := usageToWire(us)
	end.Report = report
	return steps.send(&wire.ExecuteResponse{Step: &wire.ExecuteResponse_Done{Done: end}})
}

// ReportTargets returns the state of the targets that this instance serves.
func (ph *peerHandler) ReportTargets(context.Context, *connect.Request[wire.ReportTargetsRequest]) (*connect.Response[wire.ReportTargetsResponse], error) {
	return connect.NewResponse(&wire.ReportTargetsResponse{Targets: ph.server.schedulers.reports()}), nil
}

// stepSender serialises the steps of one answer and sends keepalives in between.
type stepSender struct {
	mu     sync.Mutex
	stream *connect.ServerStream[wire.ExecuteResponse]
	ticker *time.Ticker
	stop   chan struct{}
	done   chan struct{}
}

func newStepSender(stream *connect.ServerStream[wire.ExecuteResponse]) *stepSender {
	ss := &stepSender{stream: stream, ticker: time.NewTicker(keepaliveInterval), stop: make(chan struct{}), done: make(chan struct{})}
	go ss.keepAlive()
	return ss
}

func (ss *stepSender) keepAlive() {
	defer close(ss.done)
	for {
		select {
		case <-ss.ticker.C:
			_ = ss.send(&wire.ExecuteResponse{Step: &wire.ExecuteResponse_Keepalive{Keepalive: true}})
		case <-ss.stop:
			return
		}
	}
}

func (ss *stepSender) send(step *wire.ExecuteResponse) error {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.stream.Send(step)
}

func (ss *stepSender) sink() requester.Sink {
	return requester.Sink{
		Head: func(status int, header http.Header) error {
			head := &wire.Head{Status: int32(status), Headers: headerToWire(header)}
			return ss.send(&wire.ExecuteResponse{Step: &wire.ExecuteResponse_Head{Head: head}})
		},
		Data: func(chunk []byte) error {
			return ss.send(&wire.ExecuteResponse{Step: &wire.ExecuteResponse_Data{Data: chunk}})
		},
	}
}

// close stops the keepalives. It is called before the handler returns, after which the stream must not be used.
func (ss *stepSender) close() {
	ss.ticker.Stop()
	close(ss.stop)
	<-ss.done
}
