package server

import (
	"context"
	"crypto/rand"
	"time"

	"connectrpc.com/connect"

	"lovagebank/batcher"
	"lovagebank/claimer"
	"lovagebank/explainer"
	"lovagebank/requester"
	"lovagebank/wire"
)

func (sv *Server) newClaimer() *claimer.Claimer {
	return claimer.New(claimer.Options{
		Instance:      sv.identity,
		Get:           sv.store.Get,
		Commit:        sv.batcher.Commit,
		DeletePrefix:  sv.store.DeletePrefix,
		Members:       sv.liveMembers,
		Departed:      sv.memberGone,
		ForwardClaim:  sv.forwardClaim,
		ForwardFinish: sv.forwardFinish,
		Nonce:         rand.Text,
		Window:        sv.settings.Limits().KeyWindow(),
	})
}

// jobWriteInterval is the least time between two writes of deferred work, which can wait.
const jobWriteInterval = 200 * time.Millisecond

func (sv *Server) newBatcher(interval time.Duration) *batcher.Batcher {
	return batcher.New(batcher.Options{Transact: sv.store.Transact, Interval: interval})
}

// liveMembers returns the identities of the instances that take new work.
func (sv *Server) liveMembers() []string {
	members := sv.gossiper.Members()
	ids := make([]string, 0, len(members))
	for _, me := range members {
		if me.GetState() == wire.MemberState_MEMBER_STATE_LIVE {
			ids = append(ids, me.GetId())
		}
	}
	return ids
}

// memberGone tells whether an instance is no member. A mistake costs an answer, never a second run.
func (sv *Server) memberGone(instance string) bool {
	return sv.placing.Load() && sv.findMember(instance) == nil
}

func (sv *Server) forwardClaim(ctx context.Context, instance string, rq *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	peer, err := sv.peerOf(instance)
	if err != nil {
		return nil, err
	}
	response, err := peer.Claims().Claim(ctx, connect.NewRequest(rq))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (sv *Server) forwardFinish(ctx context.Context, instance string, rq *wire.FinishRequest) (*wire.FinishResponse, error) {
	peer, err := sv.peerOf(instance)
	if err != nil {
		return nil, err
	}
	response, err := peer.Claims().Finish(ctx, connect.NewRequest(rq))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Claim commits a peer's claim.
func (pe *peering) Claim(ctx context.Context, call *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	response, err := pe.server.claimer.ServeClaim(ctx, call.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// Finish stores the outcome of a peer's claim.
func (pe *peering) Finish(ctx context.Context, call *connect.Request[wire.FinishRequest]) (*connect.Response[wire.FinishResponse], error) {
	response, err := pe.server.claimer.ServeFinish(ctx, call.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// claim asks for the right to run a request that may not be repeated. It returns the stored answer of an earlier run,
// or nil when the request is to run now.
func (sv *Server) claim(ctx context.Context, rq *requester.Request) (*wire.Answer, error) {
	de, err := sv.claimer.Claim(ctx, rq)
	if err != nil {
		return nil, err
	}
	if rf := de.Refusal(); rf != nil {
		return nil, rf
	}
	if de.Result() == claimer.ResultAnswered {
		explainer.FromContext(ctx).AddStep("claimer", "Ran before; the stored answer is given.")
		return de.Answer(), nil
	}
	explainer.FromContext(ctx).AddStep("claimer", "Claimed.")
	return nil, nil
}
