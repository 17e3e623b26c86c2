// Command lovagebank serves many LoRA adapters on shared model engines.
package main

import (
	"os"

	"lovagebank/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
