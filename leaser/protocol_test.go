package leaser

import (
	"testing"
	"time"

	"lovagebank/wire"
)

// cast is a settled world with its holder and successors in their order.
type cast struct {
	*world
	holder, first, second *node
}

func settled(t *testing.T, instances int) cast {
	t.Helper()
	wd := newWorld(instances)
	wd.settle(2 * time.Second)
	record := wd.store.record(wd.resource)
	if acting := wd.acting(); len(acting) != 1 || acting[0] != record.GetHolder() || len(record.GetSuccessors()) != successorCount {
		t.Fatalf("not settled: %v", wd)
	}
	return cast{wd, wd.nodes[record.GetHolder()], wd.nodes[record.GetSuccessors()[0]], wd.nodes[record.GetSuccessors()[1]]}
}

func (ct cast) until(nd *node) time.Time { return nd.machine.until(nd.machine.records[ct.resource]) }

// asks sends the holder's request to a successor, past the holder's own machine.
func (ct cast) asks(nd *node) bool {
	request := &wire.PromiseRequest{
		Holder: ct.holder.machine.self, Successor: nd.machine.self, Resources: []string{ct.resource},
		Fencing: []uint64{ct.store.record(ct.resource).GetFencing()}, DurationMs: ct.timing.Promise.Milliseconds(),
	}
	return len(nd.machine.promise(ct.now, request).GetResources()) == 1
}

// lapse cuts the holder off until its session has lapsed and the first successor's takeover is on its way.
func (ct cast) lapse(t *testing.T) {
	t.Helper()
	ct.holder.cut = true
	ct.suspect(ct.holder.machine.self)
	for range 200 {
		ct.run(ct.first)
		if rc := ct.first.machine.records[ct.resource]; rc.write != nil {
			return
		}
		for len(ct.flights) > 0 {
			ct.deliver(0, false)
		}
		ct.advance(tickInterval)
	}
	t.Fatalf("no takeover: %v", ct.world)
}

func TestSuccessorPromisesNothingDuringItsTakeover(t *testing.T) {
	ct := settled(t, 3)
	if !ct.asks(ct.second) {
		t.Fatal("a successor at rest did not promise")
	}
	ct.lapse(t)
	if ct.asks(ct.first) {
		t.Error("promised while its takeover was on its way")
	}
	// The answer is lost although the write has not arrived, and the record is read back unchanged.
	rc := ct.first.machine.records[ct.resource]
	nonce := rc.write.record.GetNonce()
	pending := ct.flights
	ct.flights = nil
	for _, fl := range pending {
		fl.lost(ct.now)
	}
	for range 3 {
		ct.run(ct.first)
		if rc.write == nil || rc.write.record.GetNonce() != nonce || ct.asks(ct.first) {
			t.Fatal("forgot a takeover that may still arrive")
		}
		for len(ct.flights) > 0 && !rc.write.calling {
			ct.deliver(0, false)
		}
	}
	ct.settle(5 * time.Second)
	if acting := ct.acting(); len(acting) != 1 || acting[0] != ct.first.machine.self {
		t.Errorf("takeover did not come through: %v", ct.world)
	}
}

func TestDeadlinesCountFromBeforeTheCall(t *testing.T) {
	ct := settled(t, 3)
	sentAt := ct.now
	late := ct.now.Add(9 * time.Second)
	mc := ct.holder.machine
	mc.answerSession(late, sessionAnswer{session: mc.lease.session, sentAt: sentAt, outcome: done})
	if until := ct.until(ct.holder); until.After(sentAt.Add(ct.timing.Lease - ct.timing.Margin)) {
		t.Errorf("acts until %v after the renewal was sent", until.Sub(sentAt))
	}
	mc.loseSession(late)
	for _, successor := range mc.records[ct.resource].hold.need {
		mc.answerPromise(late, promiseAnswer{successor, []string{ct.resource}, sentAt})
	}
	if until := ct.until(ct.holder); !until.Equal(sentAt.Add(ct.timing.Promise - ct.timing.Margin)) {
		t.Errorf("acts until %v after promises were asked for", until.Sub(sentAt))
	}
}

func TestChangeOfSuccessorsNeedsOldAndNewPromises(t *testing.T) {
	ct := settled(t, 4)
	ct.suspect(ct.first.machine.self)
	ct.run(ct.holder)
	for ct.holder.machine.records[ct.resource].write == nil {
		ct.advance(time.Second)
		ct.run(ct.holder)
		for len(ct.flights) > 0 && ct.holder.machine.records[ct.resource].write == nil {
			ct.deliver(0, false)
		}
	}
	mc := ct.holder.machine
	if need := mc.records[ct.resource].hold.need; len(need) != successorCount+1 {
		t.Errorf("needs the promises of %v", need)
	}
	mc.loseSession(ct.now)
	for _, successor := range mc.records[ct.resource].write.record.GetSuccessors() {
		mc.answerPromise(ct.now, promiseAnswer{successor, []string{ct.resource}, ct.now})
	}
	if until := ct.until(ct.holder); ct.now.Before(until) {
		t.Error("acts without the old successor's promise")
	}
}

func TestHandOverStopsFirstAndCarriesTheState(t *testing.T) {
	ct := settled(t, 3)
	ct.holder.machine.handOver(ct.now)
	if acting := ct.acting(); len(acting) != 0 {
		t.Errorf("%v act after the hand-over began", acting)
	}
	ct.settle(time.Second)
	if acting := ct.acting(); len(acting) != 1 || acting[0] == ct.holder.machine.self || !ct.holder.machine.left {
		t.Fatalf("not handed over within a second: %v", ct.world)
	}
	events := ct.nodes[ct.acting()[0]].events
	if ev := events[len(events)-1]; ev.Kind() != HandedOver || string(ev.State()) != "state" || ev.Fencing() != 2 {
		t.Errorf("event %+v", ev)
	}
}

// From a trace of the checker: a holder that was cut off knows neither of the takeover nor of the next holder's
// hand-over, and has its successors' promises.
func TestHandedOverRecordIsNotTakenWithinAPromise(t *testing.T) {
	ct := settled(t, 3)
	ct.second.machine.promises[ct.resource] = ct.now.Add(ct.timing.Promise)
	ct.first.machine.promises[ct.resource] = ct.now.Add(ct.timing.Promise)
	ct.holder.machine.handOver(ct.now)
	ct.settle(ct.timing.Promise - time.Second)
	if acting := ct.acting(); len(acting) != 0 {
		t.Errorf("%v took over within a promise", acting)
	}
	ct.settle(5 * time.Second)
	if acting := ct.acting(); len(acting) != 1 {
		t.Errorf("nobody took over after the promise: %v", ct.world)
	}
}

func TestResourceOutlivesAMomentOfEmptyLists(t *testing.T) {
	ct := settled(t, 3)
	mc := ct.holder.machine
	mc.want(ct.now, nil)
	ct.settle(keepUnwanted / 2)
	if acting := ct.acting(); len(acting) != 1 || acting[0] != mc.self {
		t.Fatalf("given up at once: %v", ct.world)
	}
	ct.settle(keepUnwanted)
	if acting := ct.acting(); len(acting) != 1 || acting[0] == mc.self {
		t.Errorf("not handed over: %v", ct.world)
	}
}

func TestAnotherIdentityPromisesNothing(t *testing.T) {
	ct := settled(t, 3)
	request := &wire.PromiseRequest{
		Holder: ct.holder.machine.self, Successor: "i-before", Resources: []string{ct.resource}, Fencing: []uint64{1}, DurationMs: 1000,
	}
	if got := ct.first.machine.promise(ct.now, request).GetResources(); len(got) != 0 {
		t.Errorf("promised %v in the name of another identity", got)
	}
}

// The store is away for everyone, then its sessions have lapsed: the holder goes on without a gap.
func TestHolderLivesThroughAnOutage(t *testing.T) {
	ct := settled(t, 3)
	ct.store.away = true
	for range 90 {
		ct.settle(time.Second)
		if acting := ct.acting(); len(acting) != 1 || acting[0] != ct.holder.machine.self {
			t.Fatalf("after %v: %v", ct.now, ct.world)
		}
	}
	ct.store.away = false
	for range 30 {
		ct.settle(time.Second)
		if acting := ct.acting(); len(acting) != 1 || acting[0] != ct.holder.machine.self {
			t.Fatalf("after the outage: %v", ct.world)
		}
	}
	if en := ct.store.entries[Prefix+ct.resource]; en.Session() == "" || ct.store.record(ct.resource).GetFencing() != 1 {
		t.Errorf("not locked again: %+v", en)
	}
}

func TestDeadHolderIsReplaced(t *testing.T) {
	ct := settled(t, 3)
	ct.crash(ct.holder.machine.self)
	ct.settle(ct.timing.Lease + 5*time.Second)
	if acting := ct.acting(); len(acting) != 1 || ct.store.record(ct.resource).GetFencing() != 2 {
		t.Errorf("not replaced: %v", ct.world)
	}
}
