package supervisor

import (
	"context"
	"sync"

	"lovagebank/balancer"
	"lovagebank/keeper"
	"lovagebank/orderer"
	"lovagebank/sequencer"
)

// holdings runs an orderer and a sequencer for each model engine that this instance holds.
type holdings struct {
	su      *Supervisor
	changed chan struct{}

	mu       sync.Mutex
	orderers map[string]*heldTarget
}

// heldTarget is a target that this instance holds, with its orderer and its sequencer.
type heldTarget struct {
	orderer   *orderer.Orderer
	sequencer *sequencer.Sequencer
	stop      context.CancelFunc
}

func newHoldings(su *Supervisor) *holdings {
	return &holdings{su: su, changed: make(chan struct{}, 1), orderers: make(map[string]*heldTarget)}
}

// triggerRefresh makes run refresh the orderers soon; it does not block.
func (ho *holdings) triggerRefresh() {
	if ho == nil {
		return
	}
	select {
	case ho.changed <- struct{}{}:
	default:
	}
}

// candidates returns the targets that need a holder. These are all targets of the configured services: engines take orders, and
// the holder of any target counts what instances send under the target's rate limit.
func (ho *holdings) candidates() []keeper.Candidate {
	cf := ho.su.configuration.Load()
	if cf == nil {
		return nil
	}
	var candidates []keeper.Candidate
	for _, ta := range ho.su.balancer.All() {
		if _, ok := cf.Service(ta.Service()); ok {
			candidates = append(candidates, keeper.Candidate{ID: ta.ID(), FailureDomain: ta.FailureDomain()})
		}
	}
	return candidates
}

// run starts and stops orderers until the context ends.
func (ho *holdings) run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ho.changed:
			ho.refresh(ctx, &tasks)
		}
	}
}

func (ho *holdings) refresh(ctx context.Context, tasks *sync.WaitGroup) {
	cf := ho.su.configuration.Load()
	if cf == nil {
		return
	}
	ho.mu.Lock()
	defer ho.mu.Unlock()
	needed := make(map[string]bool)
	for _, id := range ho.su.keeper.Held() {
		ta, ok := ho.su.balancer.Target(id)
		if !ok {
			continue
		}
		sv, ok := cf.Service(ta.Service())
		if !ok || sv.Engine() == nil {
			continue
		}
		needed[id] = true
		if ht, ok := ho.orderers[id]; ok && ht.orderer.Target().SameStart(ta) {
			continue
		}
		ho.stop(id)
		or := ho.newOrderer(ta, sv.Engine())
		orderCtx, stop := context.WithCancel(ctx)
		ho.orderers[id] = &heldTarget{orderer: or, sequencer: sequencer.New(), stop: stop}
		tasks.Go(func() { or.Run(orderCtx) })
	}
	for id := range ho.orderers {
		if !needed[id] {
			ho.stop(id)
		}
	}
}

func (ho *holdings) stop(id string) {
	if ht, ok := ho.orderers[id]; ok {
		ht.stop()
		delete(ho.orderers, id)
	}
}

// updates returns the state of the targets that this instance holds.
func (ho *holdings) updates() []balancer.TargetUpdate {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	updates := make([]balancer.TargetUpdate, 0, len(ho.orderers))
	for _, ht := range ho.orderers {
		if tu, ok := ht.orderer.Holding(); ok {
			updates = append(updates, tu)
		}
	}
	return updates
}

func (ho *holdings) orderer(id string) (*orderer.Orderer, bool) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ht, ok := ho.orderers[id]
	if !ok {
		return nil, false
	}
	return ht.orderer, true
}

// sequencer returns the sequencer of the prompts' turns at a target, or false if this instance does not hold the target.
func (ho *holdings) sequencer(id string) (*sequencer.Sequencer, bool) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ht, ok := ho.orderers[id]
	if !ok {
		return nil, false
	}
	return ht.sequencer, true
}

// removeInstance drops the running requests that a removed instance has reported.
func (ho *holdings) removeInstance(instance string) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	for _, ht := range ho.orderers {
		ht.orderer.RemoveInstance(instance)
	}
}
