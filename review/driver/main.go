//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the scripts; each reports whether the rule was broken.
var cases = map[string]func(la *lab, trouble bool) (broken bool, err error){
	"heads": heads, "crowd": crowd, "upgrade": upgrade, "split": split, "gone": gone,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func run(play func(*lab, bool) (bool, error), path string) int {
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	la, err := newLab(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer la.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		la.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	la.log("trouble: %v", trouble)
	broken, err := play(la, trouble)
	switch {
	case err != nil:
		la.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		la.log("result: the rule was broken")
		fmt.Println("broken")
		return 1
	default:
		la.log("result: the rule held")
		fmt.Println("held")
		return 0
	}
}
