package server

import (
	"context"
	"time"
)

// handOverTimeout bounds handing leases over.
const handOverTimeout = 5 * time.Second

// leaveTimeout bounds telling peers that this instance leaves.
const leaveTimeout = time.Second

// drain leaves the membership, hands over what is held and finishes all requests in progress.
func (sv *Server) drain() error {
	sv.leaving.Store(true)
	sv.logger.Info("Instance leaves.", "instance", sv.identity)
	ctx, cancel := context.WithTimeout(context.Background(), sv.settings.Limits().DrainTime())
	defer cancel()
	sv.leave(ctx)
	sv.handOver(ctx)
	notice := time.NewTimer(sv.settings.Limits().DrainNotice())
	defer notice.Stop()
	sv.holdings.drain(ctx)
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	err := sv.listeners.drainCallers(ctx)
	sv.settleJobs(ctx)
	return err
}

func (sv *Server) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := sv.gossiper.Leave(ctx); err != nil {
		sv.logger.Warn("Peers were not told of the leave.", "error", err.Error())
	}
}

// handOver gives the leases to their successors; what can't be handed over in time lapses.
func (sv *Server) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := sv.leases.HandOver(ctx); err != nil {
		sv.logger.Warn("Leases lapse instead of being handed over.", "error", err.Error())
	}
}

// end closes everything, after the parts were told to stop.
func (sv *Server) end() {
	sv.listeners.close()
	sv.holdings.close()
	sv.parts.Wait()
	sv.reporter.Close()
	sv.connector.Close()
	sv.invoker.Close()
	sv.store.Close()
	sv.list.Close()
	sv.logger.Info("Instance ended.", "instance", sv.identity)
}
