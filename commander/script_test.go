package commander

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http/httptest"
	"os"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"lovagebank/auditor"
	"lovagebank/configurer"
	"lovagebank/faker"
	"lovagebank/operator"
	"lovagebank/publisher"
	"lovagebank/storer"
	"lovagebank/wire"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lovagebank": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

const (
	mariaToken = "token-of-maria"
	josephFile = "token-of-joseph"
)

// credentials returns the settings of two operators.
func credentials(t *testing.T) []configurer.Credential {
	t.Helper()
	const settings = "[instance]\nfailure-domain = a\nregion = r\n" +
		"[listen]\ncaller = 127.0.0.1:1\npeer = 127.0.0.1:2\noperator = 127.0.0.1:3\n" +
		"[platform]\nstore = http://127.0.0.1:4\n[peers]\nsecret = 0123456789abcdef\n" +
		"[operators]\ncredentials = maria:%x, joseph:%x\n"
	st, err := configurer.ParseSettings("s.ini", fmt.Sprintf(settings,
		sha256.Sum256([]byte(mariaToken)), sha256.Sum256([]byte(josephFile))))
	if err != nil {
		t.Fatal(err)
	}
	return st.Credentials()
}

// startInstance runs what the operators' interface of an instance needs, on a store of its own.
func startInstance(t *testing.T, env *testscript.Env) *faker.Store {
	store := faker.NewStore(faker.StoreOptions{})
	storeServer := httptest.NewServer(store)
	client := storer.New(storer.Options{Address: storeServer.URL})
	au := auditor.New(auditor.Options{Get: client.Get, Transact: client.Transact})
	pu := publisher.New(publisher.Options{
		Get: client.Get, Watch: client.Watch, Transact: client.Transact,
		AuditStep: au.AppendStep, SweepAudit: au.Sweep, FindAuditEntry: au.Entry,
		Fetch: func(context.Context, string, *wire.FetchRequest) (*wire.FetchResponse, error) {
			return nil, publisher.ErrNotReady
		},
		Peers:        func() []string { return nil },
		WatchesStore: func() bool { return true },
	})
	ctx, cancel := context.WithCancel(context.Background())
	go pu.Run(ctx)
	interfaceServer := httptest.NewServer(operator.New(operator.Options{
		Credentials: credentials(t), Publisher: pu, Auditor: au,
	}))
	env.Defer(func() {
		cancel()
		storeServer.CloseClientConnections()
		<-pu.Done()
		interfaceServer.Close()
		storeServer.Close()
	})
	env.Setenv("LOVAGEBANK_INSTANCE", interfaceServer.URL)
	env.Setenv("LOVAGEBANK_TOKEN", mariaToken)
	return store
}

type storeKey struct{}

// TestScripts runs whole sessions of operators.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Values[storeKey{}] = startInstance(t, env)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			// store away|back, store lose COUNT
			"store": func(ts *testscript.TestScript, _ bool, args []string) {
				store := ts.Value(storeKey{}).(*faker.Store)
				switch args[0] {
				case "away", "back":
					store.SetUnavailable(args[0] == "away")
				case "lose":
					count, err := strconv.Atoi(args[1])
					ts.Check(err)
					store.LoseAnswers(count)
				default:
					ts.Fatalf("unknown state of the store: %s", args[0])
				}
			},
			// status CODE COMMAND...: expects an exit code.
			"status": func(ts *testscript.TestScript, _ bool, args []string) {
				err := ts.Exec(args[1], args[2:]...)
				if got := fmt.Sprint(err); got != "exit status "+args[0] {
					ts.Fatalf("got %s", got)
				}
			},
		},
	})
}
