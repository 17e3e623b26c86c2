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

// The service names of the entries on the list.
const (
	ServiceNameInstances = "lovagebank"
	ServiceNameEngines   = "engine"
	ServiceNameServices  = "service"
)

// The states of a listed instance or target, stored under MetaState.
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

// Listing is an entry of the platform's list for an instance or target.
type Listing struct {
	// Name is one of ServiceNameInstances, ServiceNameEngines and ServiceNameServices.
	Name string `json:"name"`
	ID   string `json:"id"`
	// Address is host:port.
	Address string            `json:"address"`
	Meta    map[string]string `json:"meta"`
}

// ListOptions configures a List.
type ListOptions struct {
	// Lag is the time until a change becomes visible.
	Lag time.Duration
}

// List is a fake of the platform's list of live and leaving instances and targets, in the format of Consul's health
// endpoint. Changes become visible after a lag.
type List struct {
	router http.Handler
	lag    time.Duration

	mu          sync.Mutex
	visible     map[string]Listing
	pending     []listChange
	index       uint64
	unavailable bool
}

type listChange struct {
	at      time.Time
	listing Listing
	removed bool
}

// NewList returns an empty list.
func NewList(options ListOptions) *List {
	li := &List{lag: options.Lag, visible: map[string]Listing{}, index: 1}
	ro := chi.NewRouter()
	ro.Get("/v1/health/service/{name}", li.health)
	li.router = ro
	return li
}

// ServeHTTP serves the list API, or status 500 during an outage.
func (li *List) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	li.mu.Lock()
	unavailable := li.unavailable
	li.mu.Unlock()
	if unavailable {
		http.Error(wr, "No cluster leader", http.StatusInternalServerError)
		return
	}
	li.router.ServeHTTP(wr, rq)
}

// Register adds or replaces a listing. A listing without a state is registered as live.
func (li *List) Register(listing Listing) {
	if listing.Meta[MetaState] == "" {
		meta := map[string]string{MetaState: StateLive}
		for key, value := range listing.Meta {
			meta[key] = value
		}
		meta[MetaState] = StateLive
		listing.Meta = meta
	}
	li.enqueue(listChange{listing: listing})
}

// SetState changes the state of a listing, as the platform does before it removes an instance or target. It does
// nothing if the listing does not exist.
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
	li.enqueue(listChange{listing: listing})
}

// Deregister removes a listing.
func (li *List) Deregister(id string) {
	li.enqueue(listChange{listing: Listing{ID: id}, removed: true})
}

// SetUnavailable starts or ends an outage of the list.
func (li *List) SetUnavailable(unavailable bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.unavailable = unavailable
}

// ApplyPending makes all pending changes visible without waiting for their lag.
func (li *List) ApplyPending() {
	li.mu.Lock()
	defer li.mu.Unlock()
	for index := range li.pending {
		li.pending[index].at = time.Now()
	}
	li.applyDue()
}

func (li *List) enqueue(change listChange) {
	li.mu.Lock()
	defer li.mu.Unlock()
	change.at = time.Now().Add(li.lag)
	li.pending = append(li.pending, change)
	li.applyDue()
}

// latest returns a listing with its pending changes applied. The caller holds the lock.
func (li *List) latest(id string) (Listing, bool) {
	listing, found := li.visible[id]
	for _, change := range li.pending {
		if change.listing.ID == id {
			listing, found = change.listing, !change.removed
		}
	}
	return listing, found
}

// applyDue makes the changes visible whose lag has passed. The caller holds the lock.
func (li *List) applyDue() {
	now := time.Now()
	for len(li.pending) > 0 && !li.pending[0].at.After(now) {
		change := li.pending[0]
		li.pending = li.pending[1:]
		li.index++
		if change.removed {
			delete(li.visible, change.listing.ID)
		} else {
			li.visible[change.listing.ID] = change.listing
		}
	}
}

// healthNode, healthService, healthCheck and healthEntry follow the JSON format of Consul's health endpoint.
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
	li.applyDue()
	entries := []healthEntry{}
	for _, listing := range li.visible {
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

// await blocks until the list has changed since the index seen, the wait has passed or the request is cancelled.
func (li *List) await(rq *http.Request, seen uint64, wait time.Duration) {
	ticker := time.NewTicker(listPollInterval)
	defer ticker.Stop()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		li.mu.Lock()
		li.applyDue()
		changed := li.index > seen
		li.mu.Unlock()
		if changed {
			return
		}
		select {
		case <-ticker.C:
		case <-timeout.C:
			return
		case <-rq.Context().Done():
			return
		}
	}
}

// listPollInterval is the interval at which a blocking query checks for changes whose lag has passed.
const listPollInterval = 20 * time.Millisecond

func (ls Listing) entry() healthEntry {
	host, port, _ := net.SplitHostPort(ls.Address)
	number, _ := strconv.Atoi(port)
	return healthEntry{
		Node:    healthNode{Node: ls.ID, Address: host},
		Service: healthService{ID: ls.ID, Service: ls.Name, Address: host, Port: number, Meta: ls.Meta},
		Checks:  []healthCheck{{Status: "passing"}},
	}
}
