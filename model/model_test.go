package model_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// verdict is what the checker must say of a specification.
type verdict string

const (
	// holds means that all states were searched and no assertion failed.
	holds verdict = "holds"
	// broken means that the checker found a state in which an assertion fails.
	broken verdict = "broken"
)

const (
	depthArgument  = "-m200000"
	tableArgument  = "-w24"
	memoryArgument = "-DMEMLIM=4000" // MB
)

// checkers is how many checkers run at a time; each takes less than a gigabyte of memory.
const checkers = 3

type specification struct {
	file    string
	defines string
	want    verdict
}

func TestSpecifications(t *testing.T) {
	for _, tool := range []string{"spin", "gcc"} {
		if _, err := exec.LookPath(tool); err != nil && os.Getenv("CI") == "" {
			t.Skipf("%s is not installed", tool)
		}
	}
	running := make(chan struct{}, checkers)
	for name, sp := range specifications {
		t.Run(strings.TrimSuffix(sp.file, ".pml")+"/"+name, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			if got, output := check(t, sp); got != sp.want {
				t.Errorf("%s with %q: %q, want %q\n%s", sp.file, sp.defines, got, sp.want, output)
			}
		})
	}
}

// check generates, builds and runs the verifier of a specification. The verdict is empty when the search was cut short.
func check(t *testing.T, sp specification) (verdict, string) {
	t.Helper()
	path, err := filepath.Abs(sp.file)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	run(t, dir, "spin", append([]string{"-a"}, append(strings.Fields(sp.defines), path)...)...)
	run(t, dir, "gcc", "-O2", "-w", "-DSAFETY", "-DCOLLAPSE", memoryArgument, "-o", "pan", "pan.c")
	output := run(t, dir, filepath.Join(dir, "pan"), depthArgument, tableArgument)
	switch {
	case strings.Contains(output, "assertion violated"):
		return broken, output
	case strings.Contains(output, "errors: 0") && !strings.Contains(output, "not completed") && !strings.Contains(output, "too small"):
		return holds, output
	default:
		return "", output
	}
}

func run(t *testing.T, dir, command string, arguments ...string) string {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), command, arguments...)
	cmd.Dir = dir
	var output bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &output
	if err := cmd.Run(); err != nil {
		t.Fatalf("%s %v: %v\n%s", command, arguments, err, output.String())
	}
	return output.String()
}
