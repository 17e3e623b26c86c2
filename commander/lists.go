package commander

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/jessevdk/go-flags"

	"lovagebank/configurer"
	"lovagebank/operator"
)

// revisionLine is the prefix of the first line of a list that "get" prints. "set" reads from it the revision that the
// text was made from.
const revisionLine = "# revision "

// changeOptions holds the options that all commands that make a change have.
type changeOptions struct {
	ChangeID string `long:"change-id" value-name:"ID" description:"Names the change, so that it can be sent again after a lost answer and is made once. Without it, one is made up and printed."`
	DryRun   bool   `long:"dry-run" description:"Check the change without making it."`
}

// id returns the change id; it generates one if none was given.
func (co *changeOptions) id() string {
	if co.ChangeID == "" {
		co.ChangeID = "change-" + strings.ToLower(rand.Text()[:16])
	}
	return co.ChangeID
}

// listCommands returns the commands for one of the two lists.
func listCommands(st streams, name, document, holds string) command {
	example := func(rest string) string { return fmt.Sprintf("\n\nExample: lovagebank %s %s", name, rest) }
	list := listTarget{document: document}
	cn := connection{streams: st}
	return command{
		name: name, short: fmt.Sprintf("Read and change the %s list", document),
		long: fmt.Sprintf("Reads and changes the %s list, which holds %s.", document, holds),
		subcommands: []command{
			{
				name: "get", short: "Print the list",
				long: "Prints the list, with its revision in the first line." + example("get > list.ini"),
				data: &getCommand{connection: cn, listTarget: list},
			},
			{
				name: "set", short: "Replace the list",
				long: "Replaces the list by a file, or by standard input for \"-\". The change is refused if the list was changed since the revision that --base or the file's first line names." + example("set list.ini"),
				data: &setCommand{connection: cn, listTarget: list},
			},
			{
				name: "edit", short: "Change keys of one section",
				long: "Sets keys of one section; a key with an empty value is removed. The section is added if there is none." + example("edit SECTION key=value"),
				data: &editCommand{connection: cn, listTarget: list},
			},
			{
				name: "diff", short: "Compare a file with the list",
				long: "Prints the sections in which a file differs from the list in force." + example("diff list.ini"),
				data: &diffCommand{connection: cn, listTarget: list},
			},
		},
	}
}

// listTarget selects the list that a command reads or changes.
type listTarget struct {
	document string
}

func (lt listTarget) read(cn *connection) (operator.Document, error) {
	var dc operator.Document
	err := cn.send(http.MethodGet, "/v1/documents/"+lt.document, nil, &dc)
	return dc, err
}

// other returns the name of the other of the two lists.
func (lt listTarget) other() string {
	if lt.document == configurer.DocumentPlans {
		return configurer.DocumentUses
	}
	return configurer.DocumentPlans
}

// propose sends a change that replaces the texts, based on a revision, and prints the outcome.
func propose(cn *connection, co *changeOptions, base uint64, texts ...operator.DocumentText) error {
	var ac operator.Accepted
	ch := operator.Change{ChangeID: co.id(), Base: base, Documents: texts, DryRun: co.DryRun}
	if err := cn.send(http.MethodPost, "/v1/changes", ch, &ac); err != nil {
		return changeError(err, co)
	}
	return cn.printAccepted(ac)
}

// changeError adds the change id to an error, because the change may have to be sent again.
func changeError(err error, co *changeOptions) error {
	return fmt.Errorf("%w\nchange-id: %s", err, co.id())
}

func (cn *connection) printAccepted(ac operator.Accepted) error {
	switch {
	case cn.JSON:
		return cn.printJSON(ac)
	case ac.DryRun:
		cn.printf("no faults found; nothing was changed\n")
	default:
		cn.printf("revision %d is in force\nchange-id: %s\n", ac.Revision, ac.ChangeID)
	}
	return nil
}

type getCommand struct {
	connection
	listTarget
}

// Execute prints the list and its revision.
func (gc *getCommand) Execute([]string) error {
	dc, err := gc.read(&gc.connection)
	if err != nil {
		return err
	}
	if gc.JSON {
		return gc.printJSON(dc)
	}
	if !dc.StoreReachable {
		_, _ = fmt.Fprintln(gc.streams.err, "the store is away; this is the list in force at the instance")
	}
	gc.printf("%s%d\n%s", revisionLine, dc.Revision, dc.Text)
	return nil
}

// fileArgument is the positional argument for the file that a command reads.
type fileArgument struct {
	Positional struct {
		File string `positional-arg-name:"FILE" description:"An INI file; \"-\" for standard input."`
	} `positional-args:"yes" required:"yes"`
}

// readList returns a file's text without its revision line, and the revision. If the file has no revision line, known is
// false.
func readList(file string) (text string, revision uint64, known bool, err error) {
	var content []byte
	if file == "-" {
		content, err = io.ReadAll(os.Stdin)
	} else {
		content, err = os.ReadFile(file)
	}
	if err != nil {
		return "", 0, false, err
	}
	first, rest, _ := strings.Cut(string(content), "\n")
	digits, found := strings.CutPrefix(first, revisionLine)
	if !found {
		return string(content), 0, false, nil
	}
	if revision, err = strconv.ParseUint(strings.TrimSpace(digits), 10, 64); err != nil {
		return "", 0, false, fmt.Errorf("%s:1: bad revision %q", file, digits)
	}
	return rest, revision, true, nil
}

type setCommand struct {
	connection
	listTarget
	changeOptions
	fileArgument
	With string  `long:"with" value-name:"FILE" description:"The other list, replaced in the same change: both lists or none. Needed where each names what only the other one brings."`
	Base *uint64 `long:"base" value-name:"REVISION" description:"The revision that the file was made from. Without it, the one in the file's first line, else the latest."`
}

// Execute replaces the list, and with --with the other list in the same change.
func (sc *setCommand) Execute([]string) error {
	text, base, known, err := readList(sc.Positional.File)
	if err != nil {
		return err
	}
	texts := []operator.DocumentText{{Name: sc.document, Text: text}}
	if sc.With != "" {
		other, revision, named, err := readList(sc.With)
		if err != nil {
			return err
		}
		if named && known && revision != base {
			return fmt.Errorf("%s is of revision %d, %s of revision %d", sc.Positional.File, base, sc.With, revision)
		}
		base, known = max(base, revision), known || named
		texts = append(texts, operator.DocumentText{Name: sc.other(), Text: other})
	}
	if sc.Base == nil && !known {
		dc, err := sc.read(&sc.connection)
		if err != nil {
			return err
		}
		base = dc.Revision
	}
	if sc.Base != nil {
		base = *sc.Base
	}
	return propose(&sc.connection, &sc.changeOptions, base, texts...)
}

type editCommand struct {
	connection
	listTarget
	changeOptions
	Remove     bool `long:"remove" description:"Remove the whole section."`
	Positional struct {
		Section string   `positional-arg-name:"SECTION" description:"The section's header, such as \"plan dealer\"." required:"yes"`
		Values  []string `positional-arg-name:"KEY=VALUE" description:"Keys to set."`
	} `positional-args:"yes"`
}

// Execute sets keys of one section, or removes the section.
func (ec *editCommand) Execute([]string) error {
	dc, err := ec.read(&ec.connection)
	if err != nil {
		return err
	}
	text, err := ec.apply(dc.Text)
	if err != nil {
		return err
	}
	return propose(&ec.connection, &ec.changeOptions, dc.Revision, operator.DocumentText{Name: ec.document, Text: text})
}

func (ec *editCommand) apply(text string) (string, error) {
	section := strings.Join(strings.Fields(strings.Trim(ec.Positional.Section, "[] ")), " ")
	if ec.Remove == (len(ec.Positional.Values) > 0) {
		return "", &flags.Error{Type: flags.ErrRequired, Message: "give either KEY=VALUE or --remove"}
	}
	if ec.Remove {
		text, found := configurer.RemoveSection(text, section)
		if !found {
			return "", fmt.Errorf("there is no section [%s]", section)
		}
		return text, nil
	}
	for _, pair := range ec.Positional.Values {
		key, value, found := strings.Cut(pair, "=")
		if !found || strings.ContainsAny(pair, "\r\n") {
			return "", &flags.Error{Type: flags.ErrMarshal, Message: fmt.Sprintf("%q is not of the form KEY=VALUE", pair)}
		}
		text = configurer.SetKey(text, section, strings.TrimSpace(key), strings.TrimSpace(value))
	}
	return text, nil
}

type diffCommand struct {
	connection
	listTarget
	fileArgument
}

// sectionDiff is the JSON output for one section that differs.
type sectionDiff struct {
	Section string   `json:"section"`
	Action  string   `json:"action"`
	Removed []string `json:"removed,omitempty"`
	Added   []string `json:"added,omitempty"`
}

// Execute prints the sections in which the file differs from the list.
func (dc *diffCommand) Execute([]string) error {
	text, _, _, err := readList(dc.Positional.File)
	if err != nil {
		return err
	}
	current, err := dc.read(&dc.connection)
	if err != nil {
		return err
	}
	diffs := []sectionDiff{}
	for _, sd := range configurer.Diff(current.Text, text) {
		diffs = append(diffs, sectionDiff{sd.Header(), string(sd.Action()), sd.Removed(), sd.Added()})
	}
	if dc.JSON {
		return dc.printJSON(diffs)
	}
	for _, sd := range diffs {
		dc.printf("%s [%s]\n", sd.Action, sd.Section)
		for _, line := range sd.Removed {
			dc.printf("- %s\n", line)
		}
		for _, line := range sd.Added {
			dc.printf("+ %s\n", line)
		}
	}
	return nil
}
