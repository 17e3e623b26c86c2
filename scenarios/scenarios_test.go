package scenarios

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is the folder of the programs under test, which TestMain builds once.
var binaries string

// update replaces the golden files by the actual output; review the diff before committing it.
var update = flag.Bool("update", false, "write the golden files")

func TestMain(m *testing.M) { os.Exit(runWithBinaries(m)) }

func runWithBinaries(m *testing.M) int {
	folder, err := os.MkdirTemp("", "lovagebank-scenarios-*")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries = folder
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "lovagebank", "lovagebank/cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	t.Parallel()
	testscript.Run(t, testscript.Params{
		Dir:                "testdata",
		RequireUniqueNames: true,
		UpdateScripts:      *update,
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binaries+string(filepath.ListSeparator)+env.Getenv("PATH"))
			fl := newFleet(env.WorkDir)
			env.Values[fleetKey{}] = fl
			env.Defer(fl.killAll)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fleet":       startFleet,
			"lists":       putLists,
			"call":        call,
			"await-call":  awaitCall,
			"end-at-once": endProcessAtOnce,
			"end":         endProcess,
		},
	})
}
