// Package launcher starts small commands: it reads their command line and turns their error into an exit code.
package launcher

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Run reads the command line into options, a pointer to a struct with go-flags tags, runs the command and returns its
// exit code.
func Run(name string, options any, run func() error) int {
	if _, err := flags.Parse(options); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	}
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return exitFailed
	}
	return 0
}
