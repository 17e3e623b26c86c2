package loader

import (
	"fmt"
	"os"
	"strings"

	"github.com/samber/oops"
)

// Environment is the variables that describe a fleet, as cmd/demo prints them.
type Environment struct {
	values map[string]string
}

// ReadEnvironment reads shell assignments from a file; other lines are left out. Without a path it takes the
// environment of the process.
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

// Get returns a variable; empty when there is none.
func (en Environment) Get(name string) string { return en.values[name] }

// URLs returns the callers' addresses of the fleet: DEMO_URL_1 and those that follow.
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

// ControlURLs returns the control interfaces of the fleet's stand-ins.
func (en Environment) ControlURLs() []string {
	return strings.Fields(en.Get("DEMO_CONTROL_URL"))
}
