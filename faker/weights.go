package faker

import (
	"context"
	"sync"
	"time"
)

// The brief's law of loading: a load takes loadTime while up to loadsAtFullSpeed are in flight over all engines, and
// longer in proportion beyond.
const (
	loadTime         = 250 * time.Millisecond
	loadsAtFullSpeed = 24
)

// WeightStore stands in for the rate-limited store of adapter weights that all engines load from.
//
// The brief says that the store allows three loads at once at full speed, and that a load takes a quarter second while
// up to 24 are in flight. The stand-in reads both as one law: a load's transfer at the store's full speed takes an
// eighth of the quarter second, the rest being the engine's own work, so that three transfers at a time keep up with 24
// loads in flight. Only the number in flight is therefore counted. It matches the deployments' figures: 24 loads in
// flight of a quarter second each are 96 loads a second, far above the 6 to 8 a second of today.
type WeightStore struct {
	mu       sync.Mutex
	stats    WeightStats
	slowdown float64
}

// NewWeightStore makes a weight store without load.
func NewWeightStore() *WeightStore { return &WeightStore{slowdown: 1} }

// SetSlowdown multiplies the time of loads that start from now on.
func (ws *WeightStore) SetSlowdown(factor float64) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.slowdown = factor
}

// WeightStats counts the loads in flight now, the most that ever were, and all that were started.
type WeightStats struct {
	InFlight     int `json:"in-flight"`
	PeakInFlight int `json:"peak"`
	Total        int `json:"total"`
}

// Stats returns the counts so far.
func (ws *WeightStore) Stats() WeightStats {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.stats
}

// Load takes the time of one load, which is set when it starts.
func (ws *WeightStore) Load(ctx context.Context) error {
	ws.mu.Lock()
	ws.stats.InFlight++
	ws.stats.Total++
	ws.stats.PeakInFlight = max(ws.stats.PeakInFlight, ws.stats.InFlight)
	duration := time.Duration(float64(loadTime) * max(1, float64(ws.stats.InFlight)/loadsAtFullSpeed) * ws.slowdown)
	ws.mu.Unlock()
	defer func() {
		ws.mu.Lock()
		ws.stats.InFlight--
		ws.mu.Unlock()
	}()
	return sleep(ctx, duration)
}

// sleep waits for a time or the end of a context.
func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
