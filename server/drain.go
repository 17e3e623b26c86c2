package server

import (
	"context"
	"time"
)

// handOverTimeout limits the handover of leases.
const handOverTimeout = 5 * time.Second

// slowStep is how long the end of a part may take without a line in the log.
const slowStep = time.Second

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
	sv.logger.Info("leases handed over", "instance", sv.identity)
	notice := time.NewTimer(sv.settings.Limits().DrainNotice())
	defer notice.Stop()
	sv.schedulers.drain(ctx)
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	err := sv.listeners.drainCallers(ctx)
	sv.logger.Info("callers drained", "instance", sv.identity, "serving", sv.listeners.requests.serving.Load())
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
	for _, st := range []struct {
		name string
		end  func()
	}{
		{"listeners", sv.listeners.close},
		{"schedulers", sv.schedulers.close},
		{"components", sv.components.Wait},
		{"metrics", sv.reporter.Close},
		{"peers", sv.connector.Close},
		{"targets", sv.invoker.Close},
		{"store", sv.store.Close},
		{"list", sv.list.Close},
	} {
		began := time.Now()
		st.end()
		if took := time.Since(began); took > slowStep {
			sv.logger.Warn("slow end of a part", "instance", sv.identity, "part", st.name, "took", took)
		}
	}
	sv.logger.Info("instance stopped", "instance", sv.identity)
}
