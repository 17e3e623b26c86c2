// Package launcher runs small commands: it parses their command line and maps their error to an exit code.
package launcher

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of a command that fails, or whose command line is invalid.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Run parses the command line into options, a pointer to a struct with go-flags tags, calls run and returns the exit
// code: 0 after success or a request for help, 1 if run fails, 2 if the command line is invalid. It prints an error of
// run to the standard error, after the command's name.
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
