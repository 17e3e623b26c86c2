package supervisor

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"lovagebank/emulator"
	"lovagebank/faker"
	"lovagebank/wire"
)

const (
	// leavingTarget is the target that leaves.
	leavingTarget = "application-0"
	// askInterval is the time between two requests to one instance.
	askInterval = 20 * time.Millisecond
)

// askAll sends requests to plain services at each instance, at an even rate, until the returned function is called.
func (vf *virtualFleet) askAll() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	for number := range vf.instances {
		tasks.Go(func() {
			var asked sync.WaitGroup
			defer asked.Wait()
			for ctx.Err() == nil {
				asked.Go(func() { vf.ask(number, "/check/1", "") })
				time.Sleep(askInterval)
			}
		})
	}
	return func() {
		cancel()
		tasks.Wait()
	}
}

// expectLeft expects that no request reaches the leaving target too late.
func (vf *virtualFleet) expectLeft(ta *emulator.Target) {
	vf.t.Helper()
	late, leftAt := ta.LateArrivals()
	if len(late) > 0 {
		vf.t.Errorf("%d requests reached %s more than 2 s after it left, the last one after %v", len(late), leavingTarget,
			late[len(late)-1].At.Sub(leftAt))
	}
	vf.showLogs("target removed", "target leaving", "removal of key", "store unreachable", "reader")
}

// resume takes a stream up at an instance, and leaves after a time.
func (vf *virtualFleet) resume(instance int, leaveAfter time.Duration) {
	call := emulator.Call{
		Path: "/ask/1", ID: fmt.Sprint("resume-", instance), Key: emulator.Key, Adapter: "a1", Deadline: 4 * time.Second, LastEvent: "2",
		Resumes: "unknown",
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
	defer cancel()
	_, _, _ = call.Send(ctx, vf.client, vf.instances[instance].callers)
}

// stutter makes the store answer an instance late, by the given time, while a caller takes up a stream there and leaves.
func (vf *virtualFleet) stutter(instance int, late time.Duration) {
	ip := vf.instances[instance].settings.IP()
	vf.network.SetPath(ip, vf.fleet.StoreAddress(), faker.PathSilent)
	go vf.resume(instance, late/2)
	time.Sleep(late)
	vf.network.SetPath(ip, vf.fleet.StoreAddress(), faker.PathOpen)
}

// Guards against the incident DRAIN: requests reach a target more than two seconds after its leaving was written to the
// store, though the store has answered all the while.
func TestRequestsDoNotReachTargetsThatHaveLeft(t *testing.T) {
	tests := map[string]struct {
		zones int
		leave func(vf *virtualFleet)
	}{
		"draining": {2, func(vf *virtualFleet) {
			if err := vf.fleet.Drain(leavingTarget); err != nil {
				vf.t.Error(err)
			}
		}},
		"removed": {2, func(vf *virtualFleet) { vf.fleet.Deregister(leavingTarget) }},
		"removed, as callers of take-ups leave": {4, func(vf *virtualFleet) {
			for number := range vf.instances {
				go vf.stutter(number, 100*time.Millisecond)
			}
			time.Sleep(200 * time.Millisecond)
			vf.fleet.Deregister(leavingTarget)
		}},
		"draining, as its readers are cut off from the store": {2, func(vf *virtualFleet) { vf.leaveUnseen(vf.fleet.Drain) }},
		"removed, as its readers are cut off from the store": {2, func(vf *virtualFleet) {
			vf.leaveUnseen(func(id string) error {
				vf.fleet.Deregister(id)
				return nil
			})
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			playVirtually(t, 4, emulator.Options{Zones: tt.zones}, func(vf *virtualFleet) {
				ta := vf.fleet.Target(leavingTarget)
				stop := vf.askAll()
				tt.leave(vf)
				time.Sleep(6 * time.Second)
				stop()
				vf.expectLeft(ta)
			})
		})
	}
}

// leaveUnseen makes a target leave while the readers pause after another change of a target, and cuts the readers of
// the first failure domain off from the store before their next read.
func (vf *virtualFleet) leaveUnseen(leave func(id string) error) {
	reader := vf.reader()
	ip := vf.instances[reader].settings.IP()
	if err := vf.fleet.Drain("application-1"); err != nil {
		vf.t.Error(err)
	}
	if err := vf.fleet.AddTarget("application-2", "applications", false, "zone-0"); err != nil {
		vf.t.Error(err)
	}
	time.Sleep(50 * time.Millisecond)
	if err := leave(leavingTarget); err != nil {
		vf.t.Error(err)
	}
	time.Sleep(780 * time.Millisecond)
	vf.network.SetPath(ip, vf.fleet.StoreAddress(), faker.PathSilent)
}

// reader returns an instance that reads the store for another one of its failure domain.
func (vf *virtualFleet) reader() int {
	for number, vi := range vf.instances {
		if _, ok := vi.follower.Reader(); !ok {
			return number
		}
	}
	vf.t.Fatal("no instance reads the store")
	return 0
}

// Guards against a target that has said in an answer that it is leaving and is sent requests again, as its entry in the
// store lapses and comes back, or comes from another writer for a moment.
func TestAnnouncementOutlivesTheEntry(t *testing.T) {
	tests := map[string]func(vf *virtualFleet) error{
		"lapsed": func(vf *virtualFleet) error { return vf.fleet.Lapse(leavingTarget, 500*time.Millisecond) },
		"malformed for a moment": func(vf *virtualFleet) error {
			if err := vf.fleet.Store().Put("servers/"+leavingTarget, map[string]any{"service": 7}); err != nil {
				return err
			}
			return vf.fleet.Lapse(leavingTarget, 500*time.Millisecond)
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			playVirtually(t, 2, emulator.Options{}, func(vf *virtualFleet) {
				ta := vf.fleet.Target(leavingTarget)
				stop := vf.askAll()
				ta.AnnounceLeaving()
				ta.Leave()
				time.Sleep(3 * time.Second)
				if err := disturb(vf); err != nil {
					t.Error(err)
				}
				time.Sleep(5 * time.Second)
				stop()
				vf.expectLeft(ta)
				if status, _ := vf.ask(0, "/check/1", ""); status != http.StatusOK {
					t.Errorf("status %d while another target is available", status)
				}
			})
		})
	}
}

// Guards against a target that gets no requests any more because a peer has reported its removal wrongly, or before it came back.
func TestReportedDepartureEndsWithOwnCopy(t *testing.T) {
	playVirtually(t, 2, emulator.Options{Applications: 1}, func(vf *virtualFleet) {
		vi := vf.instances[0]
		ta, ok := vi.balancer.Target(leavingTarget)
		if !ok {
			t.Fatal("the target is not listed")
		}
		vi.targetDeparted(&wire.Departure{
			Target: leavingTarget, StartedMs: ta.Started().UnixMilli(), Revision: vi.targetWatcher.Revision() + 1,
		})
		if vi.balancer.Available(ta) {
			t.Error("it gets requests although a peer knows that it is gone")
		}
		if err := vf.fleet.Store().Put("servers/other", "any change"); err != nil {
			t.Error(err)
		}
		time.Sleep(3 * time.Second)
		if !vi.balancer.Available(ta) {
			t.Error("it gets no requests although the store lists it")
		}
	})
}

// Guards against the incident DRAIN of review/4: a target whose departure peers have reported gets requests again, as this
// instance's copy has passed the removal and still defers it.
func TestReportedDepartureLastsWhileRemovalIsDeferred(t *testing.T) {
	playVirtually(t, 2, emulator.Options{}, func(vf *virtualFleet) {
		vi := vf.instances[0]
		ta, ok := vi.balancer.Target(leavingTarget)
		if !ok {
			t.Fatal("the target is not listed")
		}
		vi.storeFailures.RecordFailureAt(time.Now())
		vi.targetDeparted(&wire.Departure{
			Target: leavingTarget, StartedMs: ta.Started().UnixMilli(), Revision: vi.targetWatcher.Revision() + 1,
		})
		vf.fleet.Deregister(leavingTarget)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if vi.balancer.Available(ta) {
				t.Fatal("it gets requests although it has left")
			}
		}
		if _, ok := vi.balancer.Target(leavingTarget); ok {
			t.Error("it is still listed")
		}
	})
}

// Guards against the incident DRAIN of review/earlier/5: a store that cuts waiting watches now and then, as it may,
// counted as failing, so that the removal of a target's entry was held back for as long as that went on.
func TestRemovalIsAppliedWhileWatchesAreCut(t *testing.T) {
	playVirtually(t, 4, emulator.Options{}, func(vf *virtualFleet) {
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(1500 * time.Millisecond):
					vf.fleet.Store().CutWatches()
				}
			}
		}()
		time.Sleep(5 * time.Second)
		vf.fleet.Deregister(leavingTarget)
		time.Sleep(2 * time.Second)
		for number, vi := range vf.instances {
			if _, ok := vi.balancer.Target(leavingTarget); ok {
				t.Errorf("instance %d still sends to it", number)
			}
		}
	})
}
