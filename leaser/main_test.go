package leaser

import (
	"flag"
	"os"
	"testing"
)

// The random tests use a fixed seed and more checks than by default. Flags on the command line override these values.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1500", "rapid.steps": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
