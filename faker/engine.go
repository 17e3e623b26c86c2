package faker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// The HTTP headers that lovagebank sends to its targets.
const (
	HeaderFencing      = "Lovagebank-Fencing-Number"
	HeaderResumeFrom   = "Lovagebank-Resume-From"
	HeaderPriority     = "Lovagebank-Priority"
	HeaderOrganisation = "Lovagebank-Organisation"
	HeaderIdempotency  = "Idempotency-Key"
)

// EngineOptions configures an Engine.
type EngineOptions struct {
	ID     string
	Domain string
	// Base is the name of the base model, which is served alongside its adapters.
	Base string
	// Slots is the number of adapters that can be loaded at once; 0 selects 4.
	Slots int
	// Batch is the number of requests that run at once; further requests wait. 0 selects 8.
	Batch int
	// TokenTime is the time to generate one token when a single request runs.
	TokenTime time.Duration
	// PrefillTime is the prefill time of one prompt token that is not in the prefix cache.
	PrefillTime time.Duration
	// CacheBlocks is the capacity of the prefix cache in prompt blocks; 0 selects 256.
	CacheBlocks int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// EventLag is the delay before cache events become visible.
	EventLag time.Duration
	// RestartTime is the time that a crashed engine stays down.
	RestartTime time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// Weights is the store that adapters are loaded from, shared by the engines of a fleet; nil selects a new one.
	Weights *WeightStore
}

// Engine is a fake of a model engine with continuous batching. It serves OpenAI-style completions and vLLM's adapter
// load and unload calls, and generates the tokens that Token returns.
type Engine struct {
	options EngineOptions
	router  http.Handler
	batch   *prioritySemaphore
	cache   *prefixCache

	mu         sync.Mutex
	boot       string
	down       bool
	bootCtx    context.Context
	cancelBoot context.CancelFunc
	adapters   map[string]*engineSlot
	fencing    uint64
	faults     engineFaults
	stats      EngineStats
	reports    []timedReport
}

// engineSlot holds the state of one adapter on the engine and the number of requests that use it.
type engineSlot struct {
	state   string
	running int
}

// The states of an adapter in a load report.
const (
	slotLoading = "loading"
	slotLoaded  = "loaded"
)

// NewEngine returns a running engine without adapters.
func NewEngine(options EngineOptions) *Engine {
	if options.Weights == nil {
		options.Weights = NewWeightStore()
	}
	if options.Slots == 0 {
		options.Slots = 4
	}
	if options.Batch == 0 {
		options.Batch = 8
	}
	en := &Engine{options: options, batch: &prioritySemaphore{limit: options.Batch}, cache: newPrefixCache(options)}
	en.reset()
	ro := chi.NewRouter()
	ro.Post("/v1/chat/completions", en.chat)
	ro.Post("/v1/completions", en.complete)
	ro.Post("/v1/load_lora_adapter", en.loadAdapter)
	ro.Post("/v1/unload_lora_adapter", en.unloadAdapter)
	ro.Get("/v1/models", en.models)
	ro.Get("/load", en.report)
	ro.Get("/cache-events", en.cache.serveEvents)
	ro.Get("/health", func(http.ResponseWriter, *http.Request) {})
	en.router = ro
	return en
}

// reset starts a new boot without adapters. The caller holds the lock, unless the engine is not shared yet.
func (en *Engine) reset() {
	if en.cancelBoot != nil {
		en.cancelBoot()
	}
	en.bootCtx, en.cancelBoot = context.WithCancel(context.Background())
	en.boot = newUUID()
	en.adapters = map[string]*engineSlot{}
	en.fencing = 0
	en.reports = nil
	en.cache.clear()
	en.recordReport()
}

// ServeHTTP serves one call, subject to the active faults. When the engine crashes, the connections of calls in
// progress are dropped.
func (en *Engine) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	en.mu.Lock()
	down, silent, bootCtx := en.down, en.faults.silent, en.bootCtx
	en.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if silent {
		<-rq.Context().Done()
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(rq.Context())
	defer cancel()
	defer context.AfterFunc(bootCtx, cancel)()
	en.router.ServeHTTP(wr, rq.WithContext(ctx))
	if bootCtx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// engineError writes an error response in OpenAI's format.
func engineError(wr http.ResponseWriter, status int, message string) {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
			Code    int    `json:"code"`
		} `json:"error"`
	}
	body.Error.Message, body.Error.Type, body.Error.Code = message, http.StatusText(status), status
	writeJSON(wr, status, body)
}
