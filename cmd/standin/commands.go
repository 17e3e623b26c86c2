package main

import (
	"encoding/json"
	"os"
	"time"

	"lovagebank/faker"
)

type storeCommand struct {
	listener
	Rate    float64       `long:"rate" description:"Calls a second that the store takes; 0 for no limit"`
	Latency time.Duration `long:"latency" default:"1ms" description:"Time added to each call"`
}

// Execute runs the store.
func (sc *storeCommand) Execute([]string) error {
	st := faker.NewStore(faker.StoreOptions{Rate: sc.Rate, Latency: sc.Latency})
	return sc.serve("store", st, st.FaultControl())
}

type listCommand struct {
	listener
	Lag      time.Duration `long:"lag" description:"Time after which a change shows"`
	Listings string        `long:"listings" description:"JSON file of the first listings"`
}

// Execute runs the list.
func (lc *listCommand) Execute([]string) error {
	li := faker.NewList(faker.ListOptions{Lag: lc.Lag})
	if lc.Listings != "" {
		content, err := os.ReadFile(lc.Listings)
		if err != nil {
			return err
		}
		var listings []faker.Listing
		if err := json.Unmarshal(content, &listings); err != nil {
			return err
		}
		for _, listing := range listings {
			li.Register(listing)
		}
	}
	return lc.serve("list", li, li.FaultControl())
}

type engineCommand struct {
	listener
	ID            string        `long:"id" default:"engine-1" description:"Identifier on the platform's list"`
	Domain        string        `long:"domain" default:"a" description:"Failure domain"`
	Base          string        `long:"base" default:"base" description:"Base model"`
	Slots         int           `long:"slots" default:"4" description:"Adapters that fit at once"`
	Batch         int           `long:"batch" default:"8" description:"Requests that run at once"`
	TokenTime     time.Duration `long:"token-time" default:"5ms" description:"Time for one token"`
	PrefillTime   time.Duration `long:"prefill-time" default:"100us" description:"Time for one prompt token that is not cached"`
	CacheBlocks   int           `long:"cache-blocks" default:"256" description:"Prompt blocks that the prefix cache holds"`
	ReportLag     time.Duration `long:"report-lag" description:"Age of load reports"`
	EventLag      time.Duration `long:"event-lag" description:"Age of cache events when they show"`
	RestartTime   time.Duration `long:"restart-time" default:"1s" description:"Time that a crashed engine stays away"`
	ChecksFencing bool          `long:"checks-fencing" description:"Refuse orders with an old fencing number"`
}

// Execute runs the engine.
func (ec *engineCommand) Execute([]string) error {
	en := faker.NewEngine(faker.EngineOptions{
		ID: ec.ID, Domain: ec.Domain, Base: ec.Base, Slots: ec.Slots, Batch: ec.Batch, TokenTime: ec.TokenTime,
		PrefillTime: ec.PrefillTime, CacheBlocks: ec.CacheBlocks, ReportLag: ec.ReportLag, EventLag: ec.EventLag,
		RestartTime: ec.RestartTime, ChecksFencing: ec.ChecksFencing,
	})
	return ec.serve(ec.ID, en, en.FaultControl())
}

type workerCommand struct {
	listener
	ID      string        `long:"id" default:"worker-1" description:"Identifier on the platform's list"`
	Domain  string        `long:"domain" default:"a" description:"Failure domain"`
	Service string        `long:"service" default:"orders" description:"Service that the worker runs"`
	Time    time.Duration `long:"time" default:"5ms" description:"Time that a run takes"`
}

// Execute runs the worker.
func (wc *workerCommand) Execute([]string) error {
	wo := faker.NewWorker(faker.WorkerOptions{ID: wc.ID, Domain: wc.Domain, Service: wc.Service, RunTime: wc.Time})
	return wc.serve(wc.ID, wo, wo.FaultControl())
}
