package leaser

import (
	"flag"
	"os"
	"testing"
)

// The random tests always take the same seeds, and more of them than by default; flags after these go before them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1500", "rapid.steps": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
