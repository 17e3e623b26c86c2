package commander

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"lovagebank/configurer"
)

// checkCommand validates settings and lists without contacting an instance.
type checkCommand struct {
	streams  streams
	Settings string `long:"settings" value-name:"FILE" description:"An instance's settings."`
	Plans    string `long:"plans" value-name:"FILE" description:"The plans list."`
	Uses     string `long:"uses" value-name:"FILE" description:"The uses list."`
	Keys     string `long:"keys" value-name:"FILE" description:"The keys document, as an instance exports it."`
}

// Execute prints one line for each fault. It returns an error if there are any.
func (cc *checkCommand) Execute([]string) error {
	if cc.Settings+cc.Plans+cc.Uses+cc.Keys == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "name at least one file: --settings, --plans, --uses or --keys"}
	}
	faults, err := configurer.CheckFiles(cc.Settings, cc.Plans, cc.Uses, cc.Keys)
	if err != nil {
		return err
	}
	for _, fa := range faults {
		_, _ = fmt.Fprintln(cc.streams.out, fa)
	}
	if len(faults) > 0 {
		return fmt.Errorf("%d faults found", len(faults))
	}
	_, _ = fmt.Fprintln(cc.streams.out, "no faults found")
	return nil
}
