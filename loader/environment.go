package loader

import (
	"fmt"
	"os"
	"strings"

	"github.com/samber/oops"
)

// Environment holds the variables that describe a fleet, in the form printed by cmd/demo.
type Environment struct {
	values map[string]string
}

// ReadEnvironment reads shell assignments from a file and skips comments and other lines. If the path is empty, it
// reads the environment of the process. It fails if the file cannot be read.
func ReadEnvironment(path string) (Environment, error) {
	en := Environment{values: map[string]string{}}
	lines := os.Environ()
	if path != "" {
		content, err := os.ReadFile(path)
		if err != nil {
			return en, oops.In("loader").Wrapf(err, "read environment")
		}
		lines = strings.Split(string(content), "\n")
	}
	for _, line := range lines {
		name, value, found := strings.Cut(strings.TrimPrefix(line, "export "), "=")
		if found && !strings.HasPrefix(line, "#") {
			en.values[name] = strings.Trim(value, `'"`)
		}
	}
	return en, nil
}

// Get returns the value of a variable, or an empty string if it is not set.
func (en Environment) Get(name string) string { return en.values[name] }

// URLs returns the base URLs of the instances for callers: DEMO_URL_1, DEMO_URL_2 and so on, up to the first that is
// not set.
func (en Environment) URLs() []string {
	var urls []string
	for number := 1; ; number++ {
		url := en.Get(fmt.Sprintf("DEMO_URL_%d", number))
		if url == "" {
			return urls
		}
		urls = append(urls, url)
	}
}

// ControlURLs returns the base URLs of the control interfaces of the fleet's stand-ins, from DEMO_CONTROL_URL.
func (en Environment) ControlURLs() []string {
	return strings.Fields(en.Get("DEMO_CONTROL_URL"))
}
