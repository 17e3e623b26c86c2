package commander

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"lovagebank/operator"
)

func explainCommands(st streams) command {
	return command{
		name: "explain", short: "Explain what the system did",
		long: "Explains a request, an adapter or an organisation, as the asked instance knows it.",
		subcommands: []command{
			{
				name: "request", short: "Tell where a request ran and why, or why it was refused",
				long: "Asks each instance in turn for one of its latest requests, by the answer's Lovagebank-Request-Id.\n\nExample: lovagebank explain request 5QXM4TZ6E4SN2RWQ2BPCSPX4GE",
				data: &explainRequestCommand{connection: connection{streams: st}},
			},
			{
				name: "adapter", short: "Tell where an adapter lies",
				long: "Prints an adapter's versions and the targets, of those that the asked instance serves, on which it lies.\n\nExample: lovagebank explain adapter castaneda-parts-0001",
				data: &explainAdapterCommand{connection: connection{streams: st}},
			},
			{
				name: "organisation", short: "Tell what an organisation may use",
				long: "Prints an organisation's plan and the instances that hold the parts of its rate.\n\nExample: lovagebank explain organisation castaneda",
				data: &explainOrganisationCommand{connection: connection{streams: st}},
			},
		},
	}
}

// explainedName is the argument of each of the commands.
type explainedName struct {
	Name string `positional-arg-name:"NAME" required:"yes"`
}

type explainRequestCommand struct {
	connection
	Args explainedName `positional-args:"yes" required:"yes"`
}

// Execute prints the decisions on a request. Only the instance that took it knows them.
func (ec *explainRequestCommand) Execute([]string) error {
	var explained operator.Explanation
	if err := ec.askEach("/v1/explain/request/"+url.PathEscape(ec.Args.Name), &explained); err != nil {
		return err
	}
	if ec.JSON {
		return ec.printJSON(explained)
	}
	ec.printf("request %s of %s for %s%s\n", explained.RequestID, explained.Organisation, explained.Model, explained.Service)
	for _, step := range explained.Steps {
		ec.printf("%s  %s: %s\n", step.At.Format(time.RFC3339Nano), step.Component, step.Text)
	}
	return nil
}

// askEach asks the instances one after the other until one knows.
func (cn *connection) askEach(path string, into any) error {
	instances := cn.Instances
	defer func() { cn.Instances = instances }()
	var err error
	for _, instance := range instances {
		cn.Instances = []string{instance}
		if err = cn.send(http.MethodGet, path, nil, into); err == nil {
			return nil
		}
	}
	if err == nil {
		return cn.send(http.MethodGet, path, nil, into)
	}
	return err
}

type explainAdapterCommand struct {
	connection
	Args explainedName `positional-args:"yes" required:"yes"`
}

// Execute prints an adapter and its targets.
func (ec *explainAdapterCommand) Execute([]string) error {
	var explained operator.AdapterExplanation
	if err := ec.send(http.MethodGet, "/v1/explain/adapter/"+url.PathEscape(ec.Args.Name), nil, &explained); err != nil {
		return err
	}
	if ec.JSON {
		return ec.printJSON(explained)
	}
	ec.printf("adapter %s of %s on %s, current version %s of %s\n", explained.Adapter, explained.Organisation, explained.Base,
		explained.Current, strings.Join(explained.Versions, ", "))
	for _, tg := range explained.Targets {
		for _, slot := range tg.Adapters {
			if slot.Adapter == explained.Adapter {
				ec.printf("%s: version %s %s, %d running, %d queued\n", tg.ID, slot.Version, slot.State, slot.Running, slot.Queued)
			}
		}
	}
	return nil
}

type explainOrganisationCommand struct {
	connection
	Args explainedName `positional-args:"yes" required:"yes"`
}

// Execute prints an organisation's plan and the holders of its rate.
func (ec *explainOrganisationCommand) Execute([]string) error {
	var explained operator.OrganisationExplanation
	if err := ec.send(http.MethodGet, "/v1/explain/organisation/"+url.PathEscape(ec.Args.Name), nil, &explained); err != nil {
		return err
	}
	if ec.JSON {
		return ec.printJSON(explained)
	}
	ec.printf("organisation %s on plan %s: %g tokens/s, burst %g, %s, weight %g\n", explained.Organisation, explained.Plan,
		explained.Rate, explained.Burst, explained.Urgency, explained.Weight)
	ec.printf("home held by %s\n", known(explained.HomeHolder))
	for _, fh := range explained.FloorHolders {
		ec.printf("floor of %s held by %s\n", fh.FailureDomain, known(fh.Instance))
	}
	return nil
}

func known(holder string) string {
	if holder == "" {
		return "nobody known"
	}
	return holder
}
