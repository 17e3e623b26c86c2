package claimer

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests so that results are reproducible; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(fg *flag.Flag) { seeded = seeded || fg.Name == "rapid.seed" })
	if !seeded {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
