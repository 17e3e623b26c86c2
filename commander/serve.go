package commander

import (
	"context"
	"os/signal"
	"syscall"

	"lovagebank/configurer"
	"lovagebank/server"
)

// serveCommand runs an entry instance.
type serveCommand struct {
	streams  streams
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"The instance's settings, an INI file."`
}

// Execute serves until the first SIGTERM or SIGINT, then drains. A second signal terminates the process immediately.
func (sc *serveCommand) Execute([]string) error {
	settings, err := configurer.ReadSettings(sc.Settings)
	if err != nil {
		return err
	}
	sv, err := server.New(settings)
	if err != nil {
		return err
	}
	ctx, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer restore()
	context.AfterFunc(ctx, restore)
	return sv.Run(ctx)
}
