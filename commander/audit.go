package commander

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lovagebank/operator"
)

// followWait is how long one request waits at the instance for the next change.
const followWait = 25 * time.Second

func auditCommands(st streams) command {
	return command{
		name: "audit", short: "Print the audit trail",
		long: "Prints accepted changes, oldest first: time, author, kind, revisions before and after, summary.\n\nExample: lovagebank audit --organisation castaneda --since 24h",
		data: &auditCommand{connection: connection{streams: st}},
	}
}

type auditCommand struct {
	connection
	Since        string `long:"since" value-name:"TIME" description:"Changes since then: a duration back from now, such as 24h, or a time such as 2030-12-31T00:00:00Z."`
	Until        string `long:"until" value-name:"TIME" description:"Changes before then, in the same forms."`
	Organisation string `long:"organisation" value-name:"NAME" description:"Changes that concern this organisation."`
	Kind         string `long:"kind" value-name:"KIND" description:"Changes of this kind." choice:"plan" choice:"uses" choice:"key-issue" choice:"key-withdraw"`
	Author       string `long:"author" value-name:"NAME" description:"Changes by this operator."`
	Limit        int    `long:"limit" value-name:"COUNT" default:"100" description:"The most changes to print, the newest ones; up to 1000."`
	Follow       bool   `long:"follow" description:"Go on and print each further change as it is accepted."`
}

// Execute prints the audit trail and, with --follow, waits for further entries until the process is interrupted.
func (ac *auditCommand) Execute([]string) error {
	query, err := ac.query(time.Now())
	if err != nil {
		return err
	}
	for {
		var page operator.AuditPage
		if err := ac.send(http.MethodGet, "/v1/audit?"+query.Encode(), nil, &page); err != nil {
			return err
		}
		if err := ac.print(page); err != nil || !ac.Follow {
			return err
		}
		query.Set("after", strconv.FormatUint(page.Revision, 10))
		query.Set("wait", followWait.String())
	}
}

func (ac *auditCommand) query(now time.Time) (url.Values, error) {
	query := url.Values{"limit": {strconv.Itoa(ac.Limit)}}
	texts := map[string]string{"organisation": ac.Organisation, "kind": ac.Kind, "author": ac.Author}
	for name, text := range texts {
		if text != "" {
			query.Set(name, text)
		}
	}
	times := map[string]string{"since": ac.Since, "until": ac.Until}
	for name, text := range times {
		if text == "" {
			continue
		}
		moment, err := parsePastTime(text, now)
		if err != nil {
			return nil, fmt.Errorf("--%s: %w", name, err)
		}
		query.Set(name, moment.UTC().Format(time.RFC3339))
	}
	return query, nil
}

// parsePastTime parses a duration before now, or a time in RFC 3339 format.
func parsePastTime(text string, now time.Time) (time.Time, error) {
	if span, err := time.ParseDuration(text); err == nil {
		return now.Add(-span), nil
	}
	moment, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return moment, fmt.Errorf("bad time %q; allowed: a duration such as 24h or a time such as 2030-12-31T00:00:00Z", text)
	}
	return moment, nil
}

func (ac *auditCommand) print(page operator.AuditPage) error {
	if ac.JSON {
		if ac.Follow {
			for _, en := range page.Entries {
				if err := ac.printJSON(en); err != nil {
					return err
				}
			}
			return nil
		}
		return ac.printJSON(page)
	}
	for _, en := range page.Entries {
		organisations := strings.Join(en.Organisations, ",")
		if en.AllOrganisations {
			organisations = "all"
		}
		ac.printf("%s  %s  %s  %d -> %d  %s  (organisations: %s; change %s)\n", en.At.Format(time.RFC3339), en.Author, en.Kind,
			en.RevisionBefore, en.RevisionAfter, en.Summary, organisations, en.ChangeID)
	}
	if !page.Complete && !ac.Follow {
		_, _ = fmt.Fprintln(ac.streams.err, "older changes were left out; raise --limit or set --since")
	}
	return nil
}
