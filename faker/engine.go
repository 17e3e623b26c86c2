package faker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// The headers between lovagebank and its targets.
const (
	HeaderFencing      = "Lovagebank-Fencing-Number"
	HeaderResumeFrom   = "Lovagebank-Resume-From"
	HeaderPriority     = "Lovagebank-Priority"
	HeaderOrganisation = "Lovagebank-Organisation"
	HeaderIdempotency  = "Idempotency-Key"
)

// EngineOptions describes a model engine.
type EngineOptions struct {
	ID     string
	Domain string
	// Base is the base model, which is served beside its adapters.
	Base string
	// Slots is the adapters that fit at once.
	Slots int
	// Batch is the requests that run at once; others wait.
	Batch int
	// TokenTime is the time for one token when one request runs alone.
	TokenTime time.Duration
	// PrefillTime is the time for one prompt token that is not in the prefix cache.
	PrefillTime time.Duration
	// CacheBlocks is the prompt blocks that the prefix cache holds.
	CacheBlocks int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// EventLag is the age of cache events when they show.
	EventLag time.Duration
	// RestartTime is how long a crashed engine stays away.
	RestartTime time.Duration
	// ChecksFencing is whether orders with an old fencing number are refused.
	ChecksFencing bool
	// Weights is where adapters are loaded from; the engines of a fleet share one.
	Weights *WeightStore
}

// Engine stands in for a model engine that batches continuously. It speaks the OpenAI-style calls and vLLM's adapter
// orders; its tokens are those of Token.
type Engine struct {
	options EngineOptions
	router  http.Handler
	gate    *gate
	cache   *prefixCache

	mu       sync.Mutex
	boot     string
	down     bool
	life     context.Context
	end      context.CancelFunc
	adapters map[string]*engineSlot
	fencing  uint64
	faults   engineFaults
	stats    EngineStats
	reports  []timedReport
}

// engineSlot is one adapter on the engine.
type engineSlot struct {
	state   string
	running int
}

// The states of an adapter in a load report.
const (
	slotLoading = "loading"
	slotLoaded  = "loaded"
)

// NewEngine makes an engine without adapters.
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
	en := &Engine{options: options, gate: &gate{limit: options.Batch}, cache: newPrefixCache(options)}
	en.reset()
	ro := chi.NewRouter()
	ro.Post("/v1/chat/completions", en.chat)
	ro.Post("/v1/completions", en.complete)
	ro.Post("/v1/load_lora_adapter", en.loadAdapter)
	ro.Post("/v1/unload_lora_adapter", en.unloadAdapter)
	ro.Get("/v1/models", en.models)
	ro.Get("/load", en.report)
	ro.Get("/cache-events", en.cache.serve)
	ro.Get("/health", func(http.ResponseWriter, *http.Request) {})
	en.router = ro
	return en
}

// reset gives the engine a new life without adapters; the caller locks, or is the only one that knows the engine.
func (en *Engine) reset() {
	if en.end != nil {
		en.end()
	}
	en.life, en.end = context.WithCancel(context.Background())
	en.boot = newUUID()
	en.adapters = map[string]*engineSlot{}
	en.fencing = 0
	en.reports = nil
	en.cache.clear()
	en.noteReport()
}

// ServeHTTP answers one call, or lets a fault that is switched on have it. A call in progress when the engine crashes
// loses its connection.
func (en *Engine) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	en.mu.Lock()
	down, silent, life := en.down, en.faults.silent, en.life
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
	defer context.AfterFunc(life, cancel)()
	en.router.ServeHTTP(wr, rq.WithContext(ctx))
	if life.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// engineError answers in OpenAI's shape.
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
