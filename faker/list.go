package faker

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// The names under which the list keeps what it knows.
const (
	ServiceNameInstances = "lovagebank"
	ServiceNameEngines   = "engine"
	ServiceNameServices  = "service"
)

// The states of a listed instance or target.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// The keys of a listing's metadata.
const (
	MetaDomain        = "failure-domain"
	MetaRegion        = "region"
	MetaBase          = "base"
	MetaSlots         = "slots"
	MetaBatch         = "batch"
	MetaService       = "service"
	MetaChecksFencing = "checks-fencing"
	MetaState         = "state"
)

// Listing is one instance or target on the platform's list.
type Listing struct {
	// Name is one of ServiceNameInstances, ServiceNameEngines and ServiceNameServices.
	Name string `json:"name"`
	ID   string `json:"id"`
	// Address is host:port.
	Address string            `json:"address"`
	Meta    map[string]string `json:"meta"`
}

// ListOptions describes a platform list.
type ListOptions struct {
	// Lag is the time after which a change shows.
	Lag time.Duration
}

// List stands in for the platform's list of live and leaving instances and targets, in the shape of Consul's health
// endpoint. Changes show after a lag.
type List struct {
	router http.Handler
	lag    time.Duration

	mu      sync.Mutex
	shown   map[string]Listing
	pending []listChange
	index   uint64
	away    bool
}

type listChange struct {
	at      time.Time
	listing Listing
	removed bool
}

// NewList makes an empty list.
func NewList(options ListOptions) *List {
	li := &List{lag: options.Lag, shown: map[string]Listing{}, index: 1}
	ro := chi.NewRouter()
	ro.Get("/v1/health/service/{name}", li.health)
	li.router = ro
	return li
}

// ServeHTTP answers one call.
func (li *List) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	li.mu.Lock()
	away := li.away
	li.mu.Unlock()
	if away {
		http.Error(wr, "No cluster leader", http.StatusInternalServerError)
		return
	}
	li.router.ServeHTTP(wr, rq)
}

// Register adds or replaces a listing; without a state it counts as live.
func (li *List) Register(listing Listing) {
	if listing.Meta[MetaState] == "" {
		meta := map[string]string{MetaState: StateLive}
		for key, value := range listing.Meta {
			meta[key] = value
		}
		meta[MetaState] = StateLive
		listing.Meta = meta
	}
	li.submit(listChange{listing: listing})
}

// SetState changes the state of a listing, as the platform does before it takes something away.
func (li *List) SetState(id, state string) {
	li.mu.Lock()
	listing, found := li.latest(id)
	li.mu.Unlock()
	if !found {
		return
	}
	meta := map[string]string{}
	for key, value := range listing.Meta {
		meta[key] = value
	}
	meta[MetaState] = state
	listing.Meta = meta
	li.submit(listChange{listing: listing})
}

// Deregister removes a listing.
func (li *List) Deregister(id string) {
	li.submit(listChange{listing: Listing{ID: id}, removed: true})
}

// SetUnavailable switches an outage of the list.
func (li *List) SetUnavailable(away bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.away = away
}

// ApplyPending shows all changes so far, as if their lag were over.
func (li *List) ApplyPending() {
	li.mu.Lock()
	defer li.mu.Unlock()
	for index := range li.pending {
		li.pending[index].at = time.Now()
	}
	li.settle()
}

func (li *List) submit(change listChange) {
	li.mu.Lock()
	defer li.mu.Unlock()
	change.at = time.Now().Add(li.lag)
	li.pending = append(li.pending, change)
	li.settle()
}

// latest returns a listing with its pending changes; the caller locks.
func (li *List) latest(id string) (Listing, bool) {
	listing, found := li.shown[id]
	for _, change := range li.pending {
		if change.listing.ID == id {
			listing, found = change.listing, !change.removed
		}
	}
	return listing, found
}

// settle shows the changes whose lag is over; the caller locks.
func (li *List) settle() {
	now := time.Now()
	for len(li.pending) > 0 && !li.pending[0].at.After(now) {
		change := li.pending[0]
		li.pending = li.pending[1:]
		li.index++
		if change.removed {
			delete(li.shown, change.listing.ID)
		} else {
			li.shown[change.listing.ID] = change.listing
		}
	}
}

// healthNode, healthService, healthCheck and healthEntry are Consul's shapes.
type healthNode struct {
	Node    string
	Address string
}

type healthService struct {
	ID      string
	Service string
	Address string
	Port    int
	Meta    map[string]string
}

type healthCheck struct {
	Status string
}

type healthEntry struct {
	Node    healthNode
	Service healthService
	Checks  []healthCheck
}

func (li *List) health(wr http.ResponseWriter, rq *http.Request) {
	name := chi.URLParam(rq, "name")
	query := rq.URL.Query()
	if seen, _ := strconv.ParseUint(query.Get("index"), 10, 64); seen > 0 {
		wait, err := time.ParseDuration(query.Get("wait"))
		if err != nil {
			wait = defaultWait
		}
		li.await(rq, seen, wait)
	}
	li.mu.Lock()
	li.settle()
	entries := []healthEntry{}
	for _, listing := range li.shown {
		if listing.Name == name {
			entries = append(entries, listing.entry())
		}
	}
	index := li.index
	li.mu.Unlock()
	slices.SortFunc(entries, func(a, b healthEntry) int { return strings.Compare(a.Service.ID, b.Service.ID) })
	wr.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	writeJSON(wr, http.StatusOK, entries)
}

// await blocks until the list has changed or the wait is over.
func (li *List) await(rq *http.Request, seen uint64, wait time.Duration) {
	ticker := time.NewTicker(listPoll)
	defer ticker.Stop()
	over := time.NewTimer(wait)
	defer over.Stop()
	for {
		li.mu.Lock()
		li.settle()
		changed := li.index > seen
		li.mu.Unlock()
		if changed {
			return
		}
		select {
		case <-ticker.C:
		case <-over.C:
			return
		case <-rq.Context().Done():
			return
		}
	}
}

// listPoll is how often a blocked query looks for changes whose lag is over.
const listPoll = 20 * time.Millisecond

func (ls Listing) entry() healthEntry {
	host, port, _ := net.SplitHostPort(ls.Address)
	number, _ := strconv.Atoi(port)
	return healthEntry{
		Node:    healthNode{Node: ls.ID, Address: host},
		Service: healthService{ID: ls.ID, Service: ls.Name, Address: host, Port: number, Meta: ls.Meta},
		Checks:  []healthCheck{{Status: "passing"}},
	}
}
