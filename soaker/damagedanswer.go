package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lovagebank/emulator"
	"lovagebank/sleeper"
)

const (
	// damagedTime is how long each end of damaged answers lasts, and damagedGap the time between two.
	damagedTime = 600 * time.Millisecond
	damagedGap  = 900 * time.Millisecond
	// uploadPause is the time between two requests with long bodies, and uploadBytes the length of these: more than the
	// connections on the way hold.
	uploadPause = 30 * time.Millisecond
	uploadBytes = maxBodyBytes - 4<<10
	// damagedSeed makes the random sequence of the damaged answers independent of the other faults of the same seed.
	damagedSeed = 8 << 32
)

// PlanDamagedAnswers returns the times of a seed in which targets send answers that are none or that come before their
// request has been read, sorted by start. All kinds follow each other in a random order, and begin again if the time
// allows.
func PlanDamagedAnswers(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, damagedSeed)) //nolint:gosec // a seed must reproduce its plan
	var plan []Fault
	var kinds []int
	for at := time.Duration(0); at < length; at += damagedGap {
		if len(kinds) == 0 {
			kinds = random.Perm(len(emulator.DamagedEnds()))
		}
		subject := kinds[0] + len(emulator.DamagedEnds())*random.IntN(1<<8)
		plan = append(plan, Fault{Start: at, Duration: damagedTime, Kind: KindDamagedAnswer, Subject: subject})
		kinds = kinds[1:]
	}
	return plan
}

// damageAnswers makes an engine and the applications send damaged answers, for a time in which callers send long bodies.
func (so *Soaker) damageAnswers(fa Fault) {
	ends := emulator.DamagedEnds()
	end, at := ends[fa.Subject%len(ends)], fa.Subject/len(ends)
	engines, applications := so.targets()
	defer so.faults.begin(brokenAnswers)()
	for _, id := range append(applications, engines[at%len(engines)]) {
		if ta := so.fleet.Target(id); ta != nil {
			ta.EndAnswers(end)
			defer ta.EndAnswers(emulator.EndWhole)
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), fa.Duration)
	defer stop()
	so.callers.upload(ctx, fa)
}

// upload sends requests with long bodies until the context ends, one at a time to each instance, and records the answers.
func (ca *callers) upload(ctx context.Context, fa Fault) {
	var loops sync.WaitGroup
	defer loops.Wait()
	for instance := range ca.addresses {
		loops.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				ca.uploadOne(fmt.Sprintf("u%d-%d-%d", fa.Start.Milliseconds(), instance, number), instance, number)
				sleeper.For(ctx, uploadPause)
			}
		})
	}
}

func (ca *callers) uploadOne(id string, instance, number int) {
	an := answer{id: id, path: "/order/1", instance: instance, key: ca.currentKey(), started: time.Now()}
	adapter := ""
	if number%4 == 0 {
		an.path, adapter = "/ask/1", fmt.Sprintf("a%d", number/4%2)
	}
	text := ca.sendCall(&an, emulator.Call{
		Path: an.path, ID: an.id, Key: an.key, Adapter: adapter, Deadline: requestDeadline, UploadBytes: uploadBytes,
	})
	an.ended = time.Now()
	ca.recordText(an, adapter, text)
}
