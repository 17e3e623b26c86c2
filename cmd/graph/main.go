// Command graph draws the logs of entry instances, of a day or a soak, as SVG.
package main

import (
	"fmt"
	"os"

	"lovagebank/grapher"
	"lovagebank/launcher"
)

type options struct {
	Out  string `long:"out" default:"day.svg" description:"file to write"`
	Logs struct {
		Files []string `positional-arg-name:"LOG" required:"1"`
	} `positional-args:"yes"`
}

func main() {
	var op options
	os.Exit(launcher.Run("graph", &op, func() error { return run(op) }))
}

func run(op options) error {
	gr := grapher.New()
	for _, path := range op.Logs.Files {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		err = gr.Read(file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return err
		}
	}
	if gr.Skipped() > 0 {
		fmt.Fprintf(os.Stderr, "graph: %d lines could not be read\n", gr.Skipped())
	}
	return gr.Draw(op.Out)
}
