package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"lovagebank/emulator"
	"lovagebank/misuser"
)

const (
	// memoryMB is the memory limit of each instance, that of the smallest machines, and maxBodyBytes the largest legal body.
	memoryMB     = 144
	maxBodyBytes = 4 << 20
	// misuseConnections is the number of connections of the misbehaving clients. Their unfinished bodies alone would
	// exceed the memory.
	misuseConnections = 150
	// meanMisuseGap is the mean time between two times of misbehaving clients, and misuseTime how long one lasts.
	meanMisuseGap = 6 * time.Second
	misuseTime    = 2 * time.Second
	// misuseSeed makes the random sequence of the misbehaving clients independent of the other faults of the same seed.
	misuseSeed = 6 << 32
)

// memoryPromise is the promise that is checked with misbehaving clients.
const memoryPromise = "misbehaving clients do not exhaust the memory of an instance"

// PlanMisuse returns the times of a seed at which misbehaving clients call an instance, sorted by start.
func PlanMisuse(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, misuseSeed)) //nolint:gosec // a seed must reproduce its plan
	var plan []Fault
	for at := time.Duration(random.Int64N(int64(meanMisuseGap))); at < length; at += misuseTime + time.Duration(random.Int64N(int64(2*meanMisuseGap))) {
		plan = append(plan, Fault{
			Start: at.Round(time.Millisecond), Duration: misuseTime, Kind: KindMisuse, Subject: random.IntN(1 << 16),
		})
	}
	return plan
}

// misuse runs misbehaving clients of one kind against an instance, and checks its memory.
func (so *Soaker) misuse(fa Fault) {
	kinds := misuser.Kinds()
	kind, number := kinds[fa.Subject%len(kinds)], fa.Subject/len(kinds)%len(so.entries)
	in := so.entries[number]
	defer so.faults.begin(number)()
	ctx, stop := context.WithTimeout(context.Background(), fa.Duration)
	defer stop()
	so.expectInjected("misbehaving clients", misuser.Run(ctx, kind, misuser.Options{
		Address: in.entry.Address(), Host: emulator.Host, Key: so.callers.currentKey(),
		Paths:     []string{"/check/1", "/ask/1", "/no/route"},
		LargePath: "/check" + emulator.LargePath, BodyBytes: maxBodyBytes, HeaderBytes: 16 << 10, Connections: misuseConnections,
	}))
	in.mu.Lock()
	defer in.mu.Unlock()
	peak, err := peakMemory(in.entry.PID())
	if err != nil {
		// The instance may have been killed meanwhile by another fault.
		so.op.Progress(fmt.Sprintf("peak of instance %d not read: %v", number, err))
		return
	}
	so.checker.expectLocking(memoryPromise, peak <= memoryMB*1e6,
		fmt.Sprintf("instance %d: peak of %.1f MB beside %s", number, float64(peak)/1e6, kind))
}

// peakMemory returns the largest resident memory that a process has had, in bytes.
func peakMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kilobytes, err := strconv.ParseInt(number, 10, 64)
	return kilobytes << 10, err
}
