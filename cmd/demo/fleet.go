package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"lovagebank/configurer"
	"lovagebank/faker"
	"lovagebank/seeder"
	"lovagebank/server"
)

// The fleet's size.
const instanceCount = 6

var domains = []string{"a", "b", "c"}

// The instances' ports, from the port base.
const (
	portCaller   = 1
	portPeer     = 11
	portOperator = 21
)

// readyPeriod is how often the demo asks whether an instance is ready.
const readyPeriod = 50 * time.Millisecond

// run starts the fleet, prints how to reach it, and stops it when the context ends.
func run(ctx context.Context, op options, wr io.Writer) error {
	pf, err := faker.StartPlatform(faker.PlatformOptions{
		PortBase: op.PortBase, Domains: domains, Bases: []string{faker.BaseCastaneda, faker.BaseIndus},
		Engine: faker.EngineOptions{
			Slots: op.Slots, Batch: op.Batch, TokenTime: op.TokenTime, PrefillTime: op.TokenTime / prefillSpeed,
			RestartTime: restartTime, ReportLag: reportLag, EventLag: reportLag, ChecksFencing: true,
		},
		WorkerRunTime: workerTime,
		Store:         faker.StoreOptions{Rate: op.StoreRate, Latency: time.Millisecond},
		List:          faker.ListOptions{Lag: listLag},
	})
	if err != nil {
		return err
	}
	sa := faker.NewSample(op.Adapters)
	if err := seeder.Seed(ctx, pf.StoreURL(), seeder.Lists{Plans: sa.Plans(), Uses: sa.Uses(), Keys: sa.Keys()}); err != nil {
		return errors.Join(err, pf.Close())
	}
	err = serve(ctx, op, pf, wr)
	return errors.Join(err, pf.Close())
}

// The stand-ins' times.
const (
	prefillSpeed = 100
	restartTime  = 2 * time.Second
	reportLag    = 500 * time.Millisecond
	listLag      = time.Second
	workerTime   = 20 * time.Millisecond
)

// serve runs the instances until the context ends or one of them fails.
func serve(ctx context.Context, op options, pf *faker.Platform, wr io.Writer) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var running sync.WaitGroup
	for index := range instanceCount {
		instance := instanceOptions(op, index)
		pf.RegisterInstance(instance.ID, instance.Domain, instance.PeerAddress)
		settings, err := configurer.ParseSettings(instance.ID, pf.Settings(instance))
		if err != nil {
			cancel(err)
			break
		}
		sv, err := server.New(settings)
		if err != nil {
			cancel(err)
			break
		}
		running.Go(func() {
			if err := sv.Run(ctx); err != nil {
				cancel(err)
			}
		})
	}
	for index := range instanceCount {
		awaitReady(ctx, "http://"+instanceOptions(op, index).CallerAddress)
	}
	if ctx.Err() == nil {
		printUsage(wr, op, pf)
	}
	<-ctx.Done()
	running.Wait()
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// instanceOptions describes an instance, counted from 0.
func instanceOptions(op options, index int) faker.InstanceOptions {
	address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", op.PortBase+offset+index) }
	return faker.InstanceOptions{
		ID: fmt.Sprintf("instance-%d", index+1), Domain: domains[index%len(domains)], LogLevel: op.LogLevel,
		CallerAddress: address(portCaller), PeerAddress: address(portPeer), OperatorAddress: address(portOperator),
	}
}

// awaitReady waits until an instance is ready or the context ends.
func awaitReady(ctx context.Context, url string) {
	ticker := time.NewTicker(readyPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		answer, err := http.Get(url + "/readyz")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return
		}
	}
}
