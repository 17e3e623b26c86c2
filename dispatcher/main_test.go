package dispatcher

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed so that each run gives the same result.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
