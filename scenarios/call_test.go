package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lovagebank/auditor"
	"lovagebank/authenticator"
	"lovagebank/configurer"
	"lovagebank/publisher"
	"lovagebank/storer"
)

const callTimeout = 30 * time.Second

// putLists is the command "lists PLANS USES". It creates a key for each organisation, sets KEY_<ORGANISATION>,
// publishes the lists, and waits until every instance is ready.
func putLists(ts *testscript.TestScript, _ bool, args []string) {
	fl := ts.Value(fleetKey{}).(*fleet)
	var keys strings.Builder
	plans := ts.ReadFile(args[0])
	for _, match := range regexp.MustCompile(`(?m)^\[organisation (.*)\]$`).FindAllStringSubmatch(plans, -1) {
		key, hash := authenticator.NewKey()
		fl.keys[match[1]] = key
		ts.Setenv("KEY_"+strings.ToUpper(match[1]), key)
		fmt.Fprintf(&keys, "[key %s-1]\norganisation = %s\nhash = %x\n\n", match[1], match[1], hash)
	}
	store := storer.New(storer.Options{Address: fl.store})
	defer store.Close()
	au := auditor.New(auditor.Options{Get: store.Get, Transact: store.Transact})
	pu := publisher.New(publisher.Options{Get: store.Get, Watch: store.Watch, Transact: store.Transact, AuditStep: au.AppendStep})
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := pu.Propose(ctx, publisher.Change{
		ID: "scenario-lists", Author: "scenario", Kind: publisher.KindUses, Texts: []publisher.Text{
			{Name: configurer.DocumentPlans, Text: plans},
			{Name: configurer.DocumentUses, Text: ts.ReadFile(args[1])},
			{Name: configurer.DocumentKeys, Text: keys.String()},
		},
	})
	ts.Check(err)
	awaitReady(ts)
}

// call is the command "call METHOD URL [Header:value...] [@body-file]". It prints the status, printedHeaders and the
// body of the response, and sets LOCATION to its Location header.
func call(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var body io.Reader
	header := make(http.Header)
	for _, arg := range args[2:] {
		if file, isFile := strings.CutPrefix(arg, "@"); isFile {
			body = strings.NewReader(strings.TrimSuffix(ts.ReadFile(file), "\n"))
			continue
		}
		name, value, _ := strings.Cut(arg, ":")
		header.Add(name, value)
	}
	hr, err := http.NewRequestWithContext(ctx, args[0], args[1], body)
	ts.Check(err)
	hr.Header = header
	response, err := http.DefaultClient.Do(hr)
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	ts.Check(err)
	ts.Setenv("LOCATION", response.Header.Get("Location"))
	printAnswer(ts.Stdout(), response, answer)
}

// awaitCall is the command "await-call STATUS METHOD URL KEY". It repeats a call until the response has the status, and
// prints the response. KEY is a key, or a .json file that holds the output of "lovagebank key issue --json".
func awaitCall(ts *testscript.TestScript, _ bool, args []string) {
	issued := struct{ Key string }{Key: args[3]}
	if strings.HasSuffix(args[3], ".json") {
		ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[3])), &issued))
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	for deadline := time.Now().Add(callTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		hr, err := http.NewRequestWithContext(ctx, args[1], args[2], nil)
		ts.Check(err)
		hr.Header.Set("Authorization", "Bearer "+issued.Key)
		response, err := http.DefaultClient.Do(hr)
		ts.Check(err)
		answer, err := io.ReadAll(response.Body)
		ts.Check(err)
		_ = response.Body.Close()
		cancel()
		if response.StatusCode == want {
			printAnswer(ts.Stdout(), response, answer)
			return
		}
	}
	ts.Fatalf("no response with status %d", want)
}

// printedHeaders are the headers relevant to a caller whose values are printed for golden files. Only the presence of
// Retry-After is printed, since its value is a time that varies.
var printedHeaders = []string{"Content-Type", "Lovagebank-Outcome"}

func printAnswer(out io.Writer, response *http.Response, answer []byte) {
	_, _ = fmt.Fprintln(out, response.StatusCode)
	for _, name := range printedHeaders {
		if value := response.Header.Get(name); value != "" {
			_, _ = fmt.Fprintf(out, "%s: %s\n", name, value)
		}
	}
	if response.Header.Get("Retry-After") != "" {
		_, _ = fmt.Fprintln(out, "Retry-After: (a time)")
	}
	_, _ = fmt.Fprintf(out, "\n%s", answer)
	if len(answer) > 0 && answer[len(answer)-1] != '\n' {
		_, _ = fmt.Fprintln(out)
	}
}
