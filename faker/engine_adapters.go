package faker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// loraOrder is the request body of vLLM's calls that load or unload an adapter.
type loraOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// readOrder decodes an order and checks its fencing number. An old number is counted, and refused with status 412 when
// the engine checks fencing. The result is false when an error response was written.
func (en *Engine) readOrder(wr http.ResponseWriter, rq *http.Request) (loraOrder, bool) {
	var order loraOrder
	if err := json.NewDecoder(rq.Body).Decode(&order); err != nil || order.Name == "" {
		engineError(wr, http.StatusBadRequest, "lora_name is missing")
		return order, false
	}
	number, _ := strconv.ParseUint(rq.Header.Get(HeaderFencing), 10, 64)
	en.mu.Lock()
	defer en.mu.Unlock()
	if number < en.fencing {
		en.stats.OldOrders++
		if en.options.ChecksFencing {
			engineError(wr, http.StatusPreconditionFailed, fmt.Sprintf("fencing number %d is older than %d", number, en.fencing))
			return order, false
		}
	}
	en.fencing = max(en.fencing, number)
	return order, true
}

// loadAdapter loads an adapter into a free slot and responds when the load is complete. The status is 409 when no slot
// is free and 400 when the adapter is already present.
func (en *Engine) loadAdapter(wr http.ResponseWriter, rq *http.Request) {
	order, ok := en.readOrder(wr, rq)
	if !ok {
		return
	}
	en.mu.Lock()
	if en.adapters[order.Name] != nil {
		en.mu.Unlock()
		engineError(wr, http.StatusBadRequest, fmt.Sprintf("The lora adapter '%s' has already been loaded.", order.Name))
		return
	}
	if len(en.adapters) >= en.options.Slots {
		en.stats.FullLoads++
		en.mu.Unlock()
		engineError(wr, http.StatusConflict, "no free adapter slot")
		return
	}
	slot := &engineSlot{state: slotLoading}
	en.adapters[order.Name] = slot
	fails := en.faults.consumeLoadFailure()
	en.stats.Loads++
	en.recordReport()
	// As in vLLM, a load continues when its caller disconnects. A crash of the engine cancels it.
	bootCtx := en.bootCtx
	en.mu.Unlock()
	err := en.options.Weights.Load(bootCtx)
	en.mu.Lock()
	defer en.mu.Unlock()
	defer en.recordReport()
	switch {
	case err != nil:
	case fails:
		en.stats.FailedLoads++
		delete(en.adapters, order.Name)
		engineError(wr, http.StatusInternalServerError, fmt.Sprintf("loading lora '%s' failed", order.Name))
	default:
		slot.state = slotLoaded
		_, _ = fmt.Fprintf(wr, "Success: LoRA adapter '%s' added successfully.", order.Name)
	}
}

// unloadAdapter frees an adapter's slot. Unloading an adapter that is in use succeeds too and is counted as a
// violation.
func (en *Engine) unloadAdapter(wr http.ResponseWriter, rq *http.Request) {
	order, ok := en.readOrder(wr, rq)
	if !ok {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	slot := en.adapters[order.Name]
	if slot == nil || slot.state == slotLoading {
		engineError(wr, http.StatusNotFound, fmt.Sprintf("The lora adapter '%s' cannot be found.", order.Name))
		return
	}
	if slot.running > 0 {
		en.stats.EvictionsInUse++
	}
	en.stats.Unloads++
	delete(en.adapters, order.Name)
	en.recordReport()
	_, _ = fmt.Fprintf(wr, "Success: LoRA adapter '%s' removed successfully.", order.Name)
}

// modelList is OpenAI's response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelCard `json:"data"`
}

type modelCard struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Parent string `json:"parent,omitempty"`
}

func (en *Engine) models(wr http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelCard{{ID: en.options.Base, Object: "model"}}}
	en.mu.Lock()
	for name, slot := range en.adapters {
		if slot.state == slotLoaded {
			list.Data = append(list.Data, modelCard{ID: name, Object: "model", Parent: en.options.Base})
		}
	}
	en.mu.Unlock()
	slices.SortFunc(list.Data[1:], func(a, b modelCard) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(wr, http.StatusOK, list)
}
