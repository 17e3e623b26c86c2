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
		name: "explain", short: "Explain requests, adapters and organisations",
		long: "Explains a request, an adapter or an organisation, from the state of the queried instance.",
		subcommands: []command{
			{
				name: "request", short: "Show where a request ran and why, or why it was refused",
				long: "Queries the instances in turn for a recent request, by the Lovagebank-Request-Id of its answer.\n\nExample: lovagebank explain request 5QXM4TZ6E4SN2RWQ2BPCSPX4GE",
				data: &explainRequestCommand{connection: connection{streams: st}},
			},
			{
				name: "adapter", short: "Show which targets have an adapter",
				long: "Prints an adapter's versions and, of the targets that the queried instance serves, those that have it.\n\nExample: lovagebank explain adapter castaneda-parts-0001",
				data: &explainAdapterCommand{connection: connection{streams: st}},
			},
			{
				name: "organisation", short: "Show what an organisation may use",
				long: "Prints an organisation's plan and the instances that hold the shares of its rate.\n\nExample: lovagebank explain organisation castaneda",
				data: &explainOrganisationCommand{connection: connection{streams: st}},
			},
		},
	}
}

// nameArgument is the positional argument of the explain subcommands.
type nameArgument struct {
	Name string `positional-arg-name:"NAME" required:"yes"`
}

type explainRequestCommand struct {
	connection
	Args nameArgument `positional-args:"yes" required:"yes"`
}

// Execute prints the decisions on a request. Only the instance that received the request has a record of them.
func (ec *explainRequestCommand) Execute([]string) error {
	var explanation operator.Explanation
	if err := ec.sendToEach("/v1/explain/request/"+url.PathEscape(ec.Args.Name), &explanation); err != nil {
		return err
	}
	if ec.JSON {
		return ec.printJSON(explanation)
	}
	ec.printf("request %s of %s for %s%s\n", explanation.RequestID, explanation.Organisation, explanation.Model, explanation.Service)
	for _, step := range explanation.Steps {
		ec.printf("%s  %s: %s\n", step.At.Format(time.RFC3339Nano), step.Component, step.Text)
	}
	return nil
}

// sendToEach sends a read to the instances in turn until one answers with success.
func (cn *connection) sendToEach(path string, into any) error {
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
	Args nameArgument `positional-args:"yes" required:"yes"`
}

// Execute prints an adapter's versions and the targets that have the adapter.
func (ec *explainAdapterCommand) Execute([]string) error {
	var explanation operator.AdapterExplanation
	if err := ec.send(http.MethodGet, "/v1/explain/adapter/"+url.PathEscape(ec.Args.Name), nil, &explanation); err != nil {
		return err
	}
	if ec.JSON {
		return ec.printJSON(explanation)
	}
	ec.printf("adapter %s of %s on %s, current version %s of %s\n", explanation.Adapter, explanation.Organisation, explanation.Base,
		explanation.Current, strings.Join(explanation.Versions, ", "))
	for _, tg := range explanation.Targets {
		for _, slot := range tg.Adapters {
			if slot.Adapter == explanation.Adapter {
				ec.printf("%s: version %s %s, %d running, %d queued\n", tg.ID, slot.Version, slot.State, slot.Running, slot.Queued)
			}
		}
	}
	return nil
}

type explainOrganisationCommand struct {
	connection
	Args nameArgument `positional-args:"yes" required:"yes"`
}

// Execute prints an organisation's plan and the instances that hold shares of its rate.
func (ec *explainOrganisationCommand) Execute([]string) error {
	var explanation operator.OrganisationExplanation
	if err := ec.send(http.MethodGet, "/v1/explain/organisation/"+url.PathEscape(ec.Args.Name), nil, &explanation); err != nil {
		return err
	}
	if ec.JSON {
		return ec.printJSON(explanation)
	}
	ec.printf("organisation %s on plan %s: %g tokens/s, burst %g, %s, weight %g\n", explanation.Organisation, explanation.Plan,
		explanation.Rate, explanation.Burst, explanation.Urgency, explanation.Weight)
	ec.printf("home held by %s\n", holderOrUnknown(explanation.HomeHolder))
	for _, fh := range explanation.FloorHolders {
		ec.printf("floor of %s held by %s\n", fh.FailureDomain, holderOrUnknown(fh.Instance))
	}
	return nil
}

func holderOrUnknown(holder string) string {
	if holder == "" {
		return "nobody known"
	}
	return holder
}
