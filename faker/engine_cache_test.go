package faker

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestCacheEventLagAndLoss requests an engine's cache events before and after their lag, while every third event is
// dropped.
func TestCacheEventLagAndLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lag = 2 * time.Second
		en := NewEngine(EngineOptions{Base: "base", Slots: 1, EventLag: lag, CacheBlocks: 64})
		en.cache.setLossInterval(3)
		call(en, "POST", "/v1/load_lora_adapter", `{"lora_name":"stock@3"}`)
		prompt := strings.Repeat("x", 9*cacheBlockTokens*bytesPerToken)
		call(en, "POST", "/v1/completions", `{"model":"stock@3","prompt":"`+prompt+`","max_tokens":1}`)
		if early := cacheEvents(t, en); len(early) != 0 {
			t.Errorf("%d events are visible before their lag has passed", len(early))
		}
		time.Sleep(lag + time.Second)
		var numbers []uint64
		for _, event := range cacheEvents(t, en) {
			numbers = append(numbers, event.Number)
			// The first event reports the cleared cache of a new engine.
			if event.Number > 1 && (event.Kind != cacheStored || event.Model != "stock@3") {
				t.Errorf("unexpected event %+v", event)
			}
		}
		if want := []uint64{1, 2, 4, 5, 7, 8, 10}; !slices.Equal(numbers, want) {
			t.Errorf("event numbers are %v, want %v", numbers, want)
		}
	})
}

func cacheEvents(t *testing.T, en *Engine) []CacheEvent {
	t.Helper()
	var events []CacheEvent
	if err := json.Unmarshal(call(en, "GET", "/cache-events", "").Body.Bytes(), &events); err != nil {
		t.Fatal(err)
	}
	return events
}
