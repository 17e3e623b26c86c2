package soaker

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"lovagebank/emulator"
)

func TestPlanDependsOnSeedOnly(t *testing.T) {
	one, again, other := Plan(7, time.Minute), Plan(7, time.Minute), Plan(8, time.Minute)
	if !slices.Equal(one, again) || slices.Equal(one, other) {
		t.Error("the plan does not depend on the seed alone")
	}
	seen := make(map[Kind]bool)
	for _, fa := range slices.Concat(one, other) {
		seen[fa.Kind] = true
	}
	if len(seen) != len(kinds) {
		t.Errorf("two plans of one minute contain %d of %d kinds of fault", len(seen), len(kinds))
	}
}

func TestStoreRollbacksDependOnSeedOnly(t *testing.T) {
	one, again, other := PlanRollbacks(7, time.Minute), PlanRollbacks(7, time.Minute), PlanRollbacks(8, time.Minute)
	if !slices.Equal(one, again) || slices.Equal(one, other) || len(one) < 5 {
		t.Errorf("drew %v, again %v, another seed %v", one, again, other)
	}
}

func TestRateLimitsDependOnSeedOnly(t *testing.T) {
	one, again, other := PlanRateLimits(7, time.Minute), PlanRateLimits(7, time.Minute), PlanRateLimits(8, time.Minute)
	if !slices.Equal(one, again) || slices.Equal(one, other) || len(one) < 10 {
		t.Errorf("drew %v, again %v, another seed %v", one, again, other)
	}
}

func TestCrashingPartsDependOnSeedOnly(t *testing.T) {
	one, again := PlanCrashingParts(7, time.Minute), PlanCrashingParts(7, time.Minute)
	if !slices.Equal(one, again) || len(one) == 0 {
		t.Errorf("drew %v, again %v", one, again)
	}
}

func TestSoftwareChangesDependOnSeedOnly(t *testing.T) {
	one, again := PlanSoftwareChanges(7, time.Minute), PlanSoftwareChanges(7, time.Minute)
	if !slices.Equal(one, again) || len(one) < 10 {
		t.Errorf("drew %v, again %v", one, again)
	}
}

func TestDamagedAnswersDependOnSeedOnly(t *testing.T) {
	one, again, other := PlanDamagedAnswers(7, time.Minute), PlanDamagedAnswers(7, time.Minute), PlanDamagedAnswers(8, time.Minute)
	if !slices.Equal(one, again) || slices.Equal(one, other) {
		t.Errorf("drew %v, again %v, another seed %v", one, again, other)
	}
	ends := make(map[int]bool)
	for _, fa := range PlanDamagedAnswers(5603, 6*time.Second) {
		ends[fa.Subject%len(emulator.DamagedEnds())] = true
	}
	if len(ends) != len(emulator.DamagedEnds()) {
		t.Errorf("the seed of CI plays %d of %d kinds", len(ends), len(emulator.DamagedEnds()))
	}
}

func TestMisuseDependsOnSeedOnly(t *testing.T) {
	one, again := PlanMisuse(7, time.Minute), PlanMisuse(7, time.Minute)
	if !slices.Equal(one, again) || len(one) < 4 {
		t.Errorf("drew %v, again %v", one, again)
	}
}

// Each deliberate fault must still match the source files. Otherwise, it cannot be built to show that it is caught.
func TestBreakagesMatchSources(t *testing.T) {
	t.Chdir("..")
	for _, br := range breakages {
		t.Run(br.name, func(t *testing.T) {
			if _, err := WriteOverlay(br.name, t.TempDir()); err != nil {
				t.Error(err)
			}
		})
	}
	if _, err := WriteOverlay("none such", t.TempDir()); err == nil {
		t.Error("an unknown name was accepted")
	}
}

// A stopped run must not be reported as a run without violations.
func TestStoppedRunReturnsErrStopped(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	stop()
	re, err := New(Options{Seed: 1, FaultPeriod: time.Second, Instances: 1, Folder: t.TempDir()}).Run(ctx)
	if re != nil || !errors.Is(err, ErrStopped) {
		t.Errorf("got %v, %v", re, err)
	}
}

// startEchoServer starts a TCP server that echoes the data of each connection. The server stops at the end of the test.
func startEchoServer(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func TestLink(t *testing.T) {
	const replyTimeout = time.Second
	tests := map[string]struct {
		fault    Kind
		answered bool
		reset    bool
	}{
		"healthy":             {answered: true},
		"delayed":             {fault: KindLinkDelay, answered: true},
		"silent":              {fault: KindLinkSilent},
		"requests cut":        {fault: KindCutRequests},
		"answers cut":         {fault: KindCutAnswers},
		"reset while in use ": {fault: KindLinkReset, reset: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			li, err := newLink(startEchoServer(t).Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = li.Close() }()
			conn, err := net.Dial("tcp4", li.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			reply := make([]byte, 4)
			roundTrip := func() error {
				if _, err := conn.Write([]byte("word")); err != nil {
					return err
				}
				if err := conn.SetReadDeadline(time.Now().Add(replyTimeout)); err != nil {
					return err
				}
				_, err := io.ReadFull(conn, reply)
				return err
			}
			if err := roundTrip(); err != nil {
				t.Fatalf("before the fault: %v", err)
			}
			end := li.inject(tt.fault)
			err = roundTrip()
			end()
			netErr, isNet := err.(net.Error) //nolint:errorlint // set by the connection itself
			timedOut := isNet && netErr.Timeout()
			if (err == nil) != tt.answered || (err != nil && !timedOut) != tt.reset {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestSeeds runs short seeds against real processes: the seeds that once found a violation, and one more.
func TestSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	folder := t.TempDir()
	program := filepath.Join(folder, "lovagebank")
	if text, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, text)
	}
	tests := map[string]struct {
		seed      uint64
		period    time.Duration
		instances int
		places    bool
		damaged   bool
	}{
		"first": {1, 5 * time.Second, 3, false, false},
		// Evacuations, cold targets and regions, which other runs do not have.
		"places": {2000, 6 * time.Second, 4, true, false},
		// A target named its rate limit with 19 characters, and the instances took it for malformed.
		"rate-limit-of-many-digits": {701, 12 * time.Second, 4, false, false},
		// Broken answers of a target that named a rate limit lacked it, so that the limit lapsed while it was still expected to bind.
		"broken-answers-amid-a-rate-limit": {3047, 12 * time.Second, 4, false, false},
		// Each kind of damaged answer once.
		"damaged-answers": {5603, 6 * time.Second, 3, false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			seedFolder := filepath.Join(folder, name)
			if err := os.Mkdir(seedFolder, 0o700); err != nil {
				t.Fatal(err)
			}
			re, err := New(Options{
				Seed: tt.seed, FaultPeriod: tt.period, Instances: tt.instances, Places: tt.places, DamagedAnswers: tt.damaged,
				Program: program, Folder: seedFolder,
			}).Run(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			for _, vi := range re.Violations {
				t.Errorf("%s: %s", vi.Promise, vi.Detail)
			}
		})
	}
}

func TestReachDependsOnSeedOnly(t *testing.T) {
	one, again, other := PlanReach(7, time.Minute), PlanReach(7, time.Minute), PlanReach(8, time.Minute)
	if !slices.Equal(one, again) || slices.Equal(one, other) || len(one) < 10 {
		t.Errorf("drew %v, again %v, another seed %v", one, again, other)
	}
}

func TestPlacesDependOnSeedOnly(t *testing.T) {
	one, again, other := PlanPlaces(7, time.Minute), PlanPlaces(7, time.Minute), PlanPlaces(8, time.Minute)
	if !slices.Equal(one, again) || slices.Equal(one, other) || len(one) < 10 {
		t.Errorf("drew %v, again %v, another seed %v", one, again, other)
	}
}

func TestUnevenDependsOnSeedOnly(t *testing.T) {
	one, again, other := PlanUneven(7, time.Minute), PlanUneven(7, time.Minute), PlanUneven(8, time.Minute)
	if !slices.Equal(one, again) || slices.Equal(one, other) {
		t.Errorf("drew %v, again %v, another seed %v", one, again, other)
	}
}
