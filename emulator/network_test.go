package emulator_test

import (
	"testing"

	"lovagebank/emulator"
)

// Concurrent fleets must not share addresses: otherwise another fleet could take the port of an instance before it starts or
// restarts, and the instance would exit at once.
func TestFleetsShareNoAddress(t *testing.T) {
	const fleets, instances = 5, 300
	owner := make(map[string]int)
	for number := range fleets {
		fl, err := emulator.NewFleet(emulator.Options{Folder: t.TempDir(), Engines: 1, Applications: 1, Zones: 1})
		if err != nil {
			t.Fatal(err)
		}
		defer fl.Close()
		for instance := range instances {
			ip := fl.IP(instance)
			if other, taken := owner[ip]; taken {
				t.Fatalf("fleets %d and %d both use %s", other, number, ip)
			}
			owner[ip] = number
		}
	}
}

func TestCloseReleasesNetwork(t *testing.T) {
	for range 300 {
		fl, err := emulator.NewFleet(emulator.Options{Folder: t.TempDir(), Engines: 1, Applications: 1, Zones: 1})
		if err != nil {
			t.Fatal(err)
		}
		fl.Close()
	}
}
