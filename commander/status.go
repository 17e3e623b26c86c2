package commander

import (
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"lovagebank/operator"
)

func statusCommands(st streams) command {
	return command{
		name: "status", short: "Print the state of the deployment",
		long: "Prints instances, targets, leases and the revision on each instance, as the queried instance sees them.\n\nExample: lovagebank status --instance http://10.0.0.5:8082",
		data: &statusCommand{connection: connection{streams: st}},
	}
}

type statusCommand struct {
	connection
}

// Execute prints the instances, targets and leases that the queried instance reports.
func (sc *statusCommand) Execute([]string) error {
	var status operator.Status
	if err := sc.send(http.MethodGet, "/v1/status", nil, &status); err != nil {
		return err
	}
	if sc.JSON {
		return sc.printJSON(status)
	}
	store := "reachable"
	if !status.StoreReachable {
		store = "away"
	}
	sc.printf("asked %s in %s, revision %d, store %s\n\n", status.Instance, status.FailureDomain, status.Revision, store)
	sc.printTable("INSTANCE\tDOMAIN\tREGION\tSTATE\tREVISION", len(status.Instances), func(at int) string {
		me := status.Instances[at]
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%d", me.ID, me.FailureDomain, me.Region, me.State, me.Revision)
	})
	sc.printf("\n")
	sc.printTable("TARGET\tDOMAIN\tSERVES\tHOLDER\tRUNNING\tQUEUED", len(status.Targets), func(at int) string {
		return describeTarget(status.Targets[at])
	})
	sc.printf("\n")
	sc.printTable("LEASE HELD HERE\tFENCING", len(status.Leases), func(at int) string {
		return fmt.Sprintf("%s\t%d", status.Leases[at].Resource, status.Leases[at].Fencing)
	})
	return nil
}

func describeTarget(tg operator.Target) string {
	running, queued := "-", "-"
	if tg.Served {
		running, queued = fmt.Sprint(tg.Running), fmt.Sprint(tg.Queued)
	}
	holder := tg.Holder
	if holder == "" {
		holder = "-"
	}
	if tg.Leaving {
		holder += " (leaving)"
	}
	return strings.Join([]string{tg.ID, tg.FailureDomain, tg.Base + tg.Service, holder, running, queued}, "\t")
}

// printTable prints a header and rows in aligned columns. The cells of a row are separated by tabs.
func (cn *connection) printTable(header string, rows int, row func(at int) string) {
	tw := tabwriter.NewWriter(cn.streams.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, header)
	for at := range rows {
		_, _ = fmt.Fprintln(tw, row(at))
	}
	_ = tw.Flush()
}
