package model_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// result is the outcome of verifying a specification.
type result string

const (
	// verified means that all states were searched and no assertion failed.
	verified result = "verified"
	// violated means that the verifier found a state in which an assertion fails.
	violated result = "violated"
)

const (
	depthArgument     = "-m200000"
	hashTableArgument = "-w24"
	memoryArgument    = "-DMEMLIM=4000" // MB
)

// maxCheckers is the number of verifiers that run at a time. Each uses less than 1 GB of memory.
const maxCheckers = 3

type specification struct {
	file    string
	defines string
	want    result
}

func TestSpecifications(t *testing.T) {
	for _, tool := range []string{"spin", "gcc"} {
		if _, err := exec.LookPath(tool); err != nil && os.Getenv("CI") == "" {
			t.Skipf("%s is not installed", tool)
		}
	}
	slots := make(chan struct{}, maxCheckers)
	for name, sp := range specifications {
		t.Run(strings.TrimSuffix(sp.file, ".pml")+"/"+name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			if got, output := verify(t, sp); got != sp.want {
				t.Errorf("%s with %q: %q, want %q\n%s", sp.file, sp.defines, got, sp.want, output)
			}
		})
	}
}

// verify generates, builds and runs the verifier of a specification. The result is empty when the search is incomplete.
func verify(t *testing.T, sp specification) (result, string) {
	t.Helper()
	path, err := filepath.Abs(sp.file)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	run(t, dir, "spin", append([]string{"-a"}, append(strings.Fields(sp.defines), path)...)...)
	run(t, dir, "gcc", "-O2", "-w", "-DSAFETY", "-DCOLLAPSE", memoryArgument, "-o", "pan", "pan.c")
	output := run(t, dir, filepath.Join(dir, "pan"), depthArgument, hashTableArgument)
	switch {
	case strings.Contains(output, "assertion violated"):
		return violated, output
	case strings.Contains(output, "errors: 0") && !strings.Contains(output, "not completed") && !strings.Contains(output, "too small"):
		return verified, output
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
