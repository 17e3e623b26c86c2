package faker

import (
	"context"
	"sync"
	"time"
)

// The load model of the project brief: a load takes loadTime while up to loadsAtFullSpeed loads are in flight over all
// engines, and proportionally longer beyond that.
const (
	loadTime         = 250 * time.Millisecond
	loadsAtFullSpeed = 24
)

// WeightStore is a fake of the rate-limited store of adapter weights that all engines load from.
//
// The project brief says that the store allows three loads at once at full speed, and that a load takes a quarter
// second while up to 24 are in flight. The fake combines both statements in one model: at the store's full speed, the
// transfer takes an eighth of the quarter second and the rest is work of the engine, so three concurrent transfers
// sustain 24 loads in flight. Therefore the fake only counts the loads in flight. The model fits the deployments'
// figures: 24 loads in flight of a quarter second each are 96 loads per second, far above the current 6 to 8 per
// second.
type WeightStore struct {
	mu       sync.Mutex
	stats    WeightStats
	slowdown float64
}

// NewWeightStore returns a weight store without loads in flight and with a slowdown factor of 1.
func NewWeightStore() *WeightStore { return &WeightStore{slowdown: 1} }

// SetSlowdown sets the factor on the time of loads that start from now on.
func (ws *WeightStore) SetSlowdown(factor float64) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.slowdown = factor
}

// WeightStats holds the counters of the weight store: the loads in flight now, their maximum so far, and all loads that
// were started.
type WeightStats struct {
	InFlight     int `json:"in-flight"`
	PeakInFlight int `json:"peak"`
	Total        int `json:"total"`
}

// Stats returns a copy of the counters.
func (ws *WeightStore) Stats() WeightStats {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return ws.stats
}

// Load waits for the duration of one load, which is computed at its start. It returns the context's error when the
// context ends first.
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

// sleep waits for a duration. It returns the context's error when the context ends first.
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
