package commander

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"lovagebank/authenticator"
	"lovagebank/operator"
)

func keyCommands(st streams) command {
	cn := connection{streams: st}
	return command{
		name: "key", short: "Issue, withdraw and list callers' keys",
		long: "Issues, withdraws and lists callers' keys. Only hashes of keys are stored.",
		subcommands: []command{
			{
				name: "issue", short: "Issue a key",
				long: "Makes a key for an organisation and prints it once.\n\nExample: lovagebank key issue castaneda --expires 2160h",
				data: &issueCommand{connection: cn},
			},
			{
				name: "withdraw", short: "Withdraw a key",
				long: "Withdraws a key for good. Withdrawing it again does nothing.\n\nExample: lovagebank key withdraw k-7f3a",
				data: &withdrawCommand{connection: cn},
			},
			{
				name: "list", short: "List keys",
				long: "Lists keys by identifier, never the keys themselves.\n\nExample: lovagebank key list --organisation castaneda",
				data: &keyListCommand{connection: cn},
			},
		},
	}
}

type issueCommand struct {
	connection
	changing
	ID         string `long:"id" value-name:"ID" description:"Identifier of the key. Without it, one is made up."`
	Expires    string `long:"expires" value-name:"TIME" description:"A duration from now, such as 2160h, or a time such as 2030-12-31T00:00:00Z. Without it, the key does not expire."`
	Positional struct {
		Organisation string `positional-arg-name:"ORGANISATION" description:"The organisation that the key stands for."`
	} `positional-args:"yes" required:"yes"`
}

// issuedKey is a new key in the form of --json.
type issuedKey struct {
	Key string `json:"key"`
	ID  string `json:"id"`
	operator.Accepted
}

// Execute issues a key. When the outcome stays unknown the key is printed all the same: it may be in force.
func (ic *issueCommand) Execute([]string) error {
	expires, err := parseExpiry(ic.Expires, time.Now())
	if err != nil {
		return err
	}
	if ic.ID == "" {
		ic.ID = "k-" + strings.ToLower(rand.Text()[:12])
	}
	key, hash := authenticator.NewKey()
	ki := operator.KeyIssue{
		ChangeID: ic.id(), ID: ic.ID, Organisation: ic.Positional.Organisation,
		Hash: fmt.Sprintf("%x", hash), Expires: expires, DryRun: ic.DryRun,
	}
	var ac operator.Accepted
	if err := ic.send(http.MethodPost, "/v1/keys", ki, &ac); err != nil {
		var re *requestError
		if errors.As(err, &re) && re.failure.Code == operator.CodeOutcomeUnknown {
			return fmt.Errorf("%w\nkey %s may be in force: %s\n\"key list\" tells; if it is listed, use it or withdraw it", err, ic.ID, key)
		}
		return changeError(err, &ic.changing)
	}
	switch {
	case ac.DryRun:
		return ic.printAccepted(ac)
	case ic.JSON:
		return ic.printJSON(issuedKey{Key: key, ID: ic.ID, Accepted: ac})
	}
	ic.printf("key: %s\nid: %s\n", key, ic.ID)
	return ic.printAccepted(ac)
}

// parseExpiry reads a duration from now or a time, in whole seconds; an empty text is no expiry.
func parseExpiry(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if span, err := time.ParseDuration(text); err == nil {
		return now.Add(span).UTC().Truncate(time.Second), nil
	}
	moment, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("bad time %q; allowed: a duration such as 2160h or a time such as 2030-12-31T00:00:00Z", text)
	}
	return moment, nil
}

type withdrawCommand struct {
	connection
	changing
	Positional struct {
		ID string `positional-arg-name:"ID" description:"The key's identifier."`
	} `positional-args:"yes" required:"yes"`
}

// Execute withdraws a key.
func (wc *withdrawCommand) Execute([]string) error {
	var ac operator.Accepted
	path := "/v1/keys/" + url.PathEscape(wc.Positional.ID) + "/withdraw"
	kw := operator.KeyWithdrawal{ChangeID: wc.id(), DryRun: wc.DryRun}
	if err := wc.send(http.MethodPost, path, kw, &ac); err != nil {
		return changeError(err, &wc.changing)
	}
	return wc.printAccepted(ac)
}

type keyListCommand struct {
	connection
	Organisation string `long:"organisation" value-name:"NAME" description:"List this organisation's keys alone."`
}

// Execute lists keys.
func (kc *keyListCommand) Execute([]string) error {
	var list operator.KeyList
	path := "/v1/keys?" + url.Values{"organisation": {kc.Organisation}}.Encode()
	if err := kc.send(http.MethodGet, path, nil, &list); err != nil {
		return err
	}
	if kc.JSON {
		return kc.printJSON(list)
	}
	table := tabwriter.NewWriter(kc.streams.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ID\tORGANISATION\tEXPIRES\tSTATE")
	for _, ke := range list.Keys {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", ke.ID, ke.Organisation, expiryText(ke.Expires), stateText(ke))
	}
	return table.Flush()
}

func expiryText(expires time.Time) string {
	if expires.IsZero() {
		return "never"
	}
	return expires.UTC().Format(time.RFC3339)
}

func stateText(ke operator.Key) string {
	switch {
	case ke.Withdrawn:
		return "withdrawn"
	case !ke.Expires.IsZero() && !time.Now().Before(ke.Expires):
		return "expired"
	default:
		return "in force"
	}
}
