package commander

import (
	"os"

	"github.com/samber/oops"

	"lovagebank/platform"
	"lovagebank/supervisor"
)

// entryCommand runs an entry instance on the users' platform.
type entryCommand struct {
	streams  streams
	Settings string `long:"settings" value-name:"FILE" description:"The instance's settings; by default the file that the platform names in the environment."`
	// NoPrefixCache is for comparisons with and without the feature.
	NoPrefixCache bool `long:"no-prefix-cache" description:"Choose engines without regard to the parts of prompts that they have cached."`
	Metrics       int  `long:"metrics-port" value-name:"PORT" default:"9464" description:"The port of the metrics; 0 for none."`
	Check         bool `long:"check" description:"Check the settings and end."`
}

// Execute serves until SIGTERM or SIGINT, then drains. With --check it only validates the settings.
func (ec *entryCommand) Execute([]string) error {
	path := ec.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return oops.Errorf("no settings file: use --settings or set %s", platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	if ec.Check {
		return nil
	}
	return supervisor.New(supervisor.Options{
		Settings: settings, SettingsPath: path, MetricsPort: ec.Metrics, NoPrefixCache: ec.NoPrefixCache,
		Out: ec.streams.out,
	}).Run()
}
