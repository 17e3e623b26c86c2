package server

import (
	"context"
	"time"
)

// handOverTimeout limits the handover of leases.
const handOverTimeout = 5 * time.Second

// leaveTimeout limits the notification of peers that this instance leaves.
const leaveTimeout = time.Second

// drain leaves the membership, hands over the leases and waits for all requests in progress.
func (sv *Server) drain() error {
	sv.leaving.Store(true)
	sv.logger.Info("instance leaving", "instance", sv.identity)
	ctx, cancel := context.WithTimeout(context.Background(), sv.settings.Limits().DrainTime())
	defer cancel()
	sv.leave(ctx)
	sv.handOver(ctx)
	notice := time.NewTimer(sv.settings.Limits().DrainNotice())
	defer notice.Stop()
	sv.schedulers.drain(ctx)
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	err := sv.listeners.drainCallers(ctx)
	sv.drainJobs(ctx)
	return err
}

func (sv *Server) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := sv.gossiper.Leave(ctx); err != nil {
		sv.logger.Warn("peers not notified of leave", "error", err.Error())
	}
}

// handOver hands the leases over to their successors. Leases that are not handed over in time expire.
func (sv *Server) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := sv.leases.HandOver(ctx); err != nil {
		sv.logger.Warn("leases not handed over, left to expire", "error", err.Error())
	}
}

// shutDown waits for the components, which have been signalled to stop, and closes everything.
func (sv *Server) shutDown() {
	sv.listeners.close()
	sv.schedulers.close()
	sv.components.Wait()
	sv.reporter.Close()
	sv.connector.Close()
	sv.invoker.Close()
	sv.store.Close()
	sv.list.Close()
	sv.logger.Info("instance stopped", "instance", sv.identity)
}
