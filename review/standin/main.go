//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a script.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(cannotRun)
	}
	cases := map[string]func(wo *world, trouble bool) (int, error){
		"cut-watches": cutWatches, "latin": latin, "long-ids": longIDs, "many-parts": manyParts, "poison": poison,
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(cannotRun)
	}
	os.Exit(runCase(play, os.Args[2]))
}

func runCase(play func(wo *world, trouble bool) (int, error), folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = file.Close() }()
	temporary, err := os.MkdirTemp("", "lovagebank-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(temporary) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs in", temporary)
	}
	re := &record{file: file, began: time.Now()}
	wo, err := newWorld(temporary, re)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer wo.close()
	trouble := os.Getenv("TROUBLE") != "0"
	re.line("trouble %v", trouble)
	code, err := play(wo, trouble)
	if err != nil {
		re.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	re.line("exit code %d", code)
	return code
}
