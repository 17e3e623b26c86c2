package relayer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/balancer"
	"lovagebank/forwarder"
	"lovagebank/relayer"
	"lovagebank/wire"
)

// hop is the answer of a relaying instance: the messages that it sends, and how it ends.
type hop struct {
	messages chan *wire.RelayResponse
	current  *wire.RelayResponse
	err      error
}

func (ho *hop) Receive() bool {
	message, ok := <-ho.messages
	ho.current = message
	return ok
}
func (ho *hop) Msg() *wire.RelayResponse { return ho.current }
func (ho *hop) Err() error               { return ho.err }
func (ho *hop) Close() error             { return nil }

// failing returns an answer that ends with an error before its first message.
func failing(err error) *hop {
	ho := &hop{messages: make(chan *wire.RelayResponse), err: err}
	close(ho.messages)
	return ho
}

var errNotDialled = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

// fleet is a few instances that relay for each other.
type fleet struct {
	relayers map[string]*relayer.Relayer
	// forward sends a request to the target; refusing instances relay nothing, dead ones cannot be called, and breaking
	// ones break off after the request has reached them.
	forward  func(ctx context.Context) (*forwarder.Response, error)
	refusing map[string]bool
	dead     map[string]bool
	breaking map[string]bool
	sent     atomic.Int64
}

func newFleet(names ...string) *fleet {
	fl := &fleet{relayers: make(map[string]*relayer.Relayer), refusing: make(map[string]bool), dead: make(map[string]bool), breaking: make(map[string]bool)}
	fl.forward = answer("body", nil)
	for _, name := range names {
		fl.relayers[name] = relayer.New(relayer.Options{
			Peers: func() []relayer.Peer {
				var peers []relayer.Peer
				for _, other := range names {
					if other != name {
						peers = append(peers, relayer.Peer{Name: other, Address: other, Region: map[string]string{"b": "B", "c": "C"}[other]})
					}
				}
				return peers
			},
			Call:    fl.call,
			Refuses: func() bool { return fl.refusing[name] },
			Forward: func(ctx context.Context, _ *wire.RelayRequest) (*forwarder.Response, error) {
				fl.sent.Add(1)
				return fl.forward(ctx)
			},
			Random: func() float64 { return 0 },
		})
	}
	return fl
}

func (fl *fleet) call(ctx context.Context, address string, rq *wire.RelayRequest) (relayer.Stream, error) {
	if fl.dead[address] {
		return nil, errNotDialled
	}
	ho := &hop{messages: make(chan *wire.RelayResponse, 16)}
	err := fl.relayers[address].Serve(ctx, rq, func(message *wire.RelayResponse) error {
		ho.messages <- message
		return nil
	})
	if fl.breaking[address] {
		return failing(errors.New("connection reset")), nil
	}
	close(ho.messages)
	return ho, err
}

// answer returns a target's answer whose body ends with the given error; nil for a whole one.
func answer(body string, end error) func(context.Context) (*forwarder.Response, error) {
	return func(context.Context) (*forwarder.Response, error) {
		var reader io.Reader = strings.NewReader(body)
		if end != nil {
			reader = io.MultiReader(reader, failingReader{end})
		}
		return forwarder.NewResponse(forwarder.ResponseOptions{
			Status: http.StatusOK, Header: http.Header{"Response-Seal": {"s"}}, Length: -1, Body: reader,
			Abort: func() {}, Close: func(bool) {},
		}), nil
	}
}

type failingReader struct{ err error }

func (fr failingReader) Read([]byte) (int, error) { return 0, fr.err }

func fails(err error) func(context.Context) (*forwarder.Response, error) {
	return func(context.Context) (*forwarder.Response, error) { return nil, err }
}

// Guards against relayed sends that break the rules of direct ones: a send is made once at most, what may have run is
// reported so, and a failure between the instances is not taken for one of the target.
func TestRelaysOneSend(t *testing.T) {
	errTarget := errors.New("connection reset by the target")
	tests := map[string]struct {
		prepare func(fl *fleet)
		body    string
		// failed is true if there is no whole answer; mayHaveRun and onHop describe the error, and sent is the number
		// of sends to the target.
		failed, mayHaveRun, onHop bool
		sent                      int64
	}{
		"whole answer":                 {func(*fleet) {}, "body", false, false, false, 1},
		"the first peer refuses":       {func(fl *fleet) { fl.refusing["b"] = true }, "body", false, false, false, 1},
		"the first peer is dead":       {func(fl *fleet) { fl.dead["b"] = true }, "body", false, false, false, 1},
		"all peers refuse":             {func(fl *fleet) { fl.refusing["b"], fl.refusing["c"] = true, true }, "", true, false, true, 0},
		"the hop breaks":               {func(fl *fleet) { fl.breaking["b"] = true }, "", true, true, true, 1},
		"the target breaks the answer": {func(fl *fleet) { fl.forward = answer("part", errTarget) }, "part", true, true, false, 1},
		"the target cannot be reached": {func(fl *fleet) { fl.forward = fails(forwarder.NewSendError(errTarget, false)) }, "", true, false, false, 1},
		"the target may have run it":   {func(fl *fleet) { fl.forward = fails(forwarder.NewSendError(errTarget, true)) }, "", true, true, false, 1},
		"an error without a kind":      {func(fl *fleet) { fl.forward = fails(errTarget) }, "", true, true, false, 1},
		"the peer has no connection left": {func(fl *fleet) {
			first := true
			whole := fl.forward
			fl.forward = func(ctx context.Context) (*forwarder.Response, error) {
				if first {
					first = false
					return nil, forwarder.NewSendError(forwarder.ErrNoConnection, false)
				}
				return whole(ctx)
			}
		}, "body", false, false, false, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fl := newFleet("a", "b", "c")
			tt.prepare(fl)
			rs, err := fl.relayers["a"].Send(t.Context(), balancer.Start{Target: "t", Started: time.UnixMilli(5)}, &forwarder.Request{ID: "1"})
			body := ""
			if err == nil {
				var text []byte
				text, err = io.ReadAll(rs)
				body = string(text)
				rs.Close()
			}
			if body != tt.body || (err != nil) != tt.failed || fl.sent.Load() != tt.sent {
				t.Fatalf("body %q, error %v, %d sends", body, err, fl.sent.Load())
			}
			if !tt.failed {
				return
			}
			var se *forwarder.SendError
			if !errors.As(err, &se) || se.MayHaveRun() != tt.mayHaveRun || se.OnHop() != tt.onHop {
				t.Errorf("error %v: %+v", err, se)
			}
		})
	}
}

// A target that has left meanwhile is not asked, here or at the relaying instance.
func TestRelaysNothingToTargetThatHasLeft(t *testing.T) {
	fl := newFleet("a", "b")
	_, err := fl.relayers["a"].Send(t.Context(), balancer.Start{Target: "t"}, &forwarder.Request{Usable: func() bool { return false }})
	if !errors.Is(err, forwarder.ErrUnusable) || fl.sent.Load() != 0 {
		t.Errorf("error %v, %d sends", err, fl.sent.Load())
	}
	fl.forward = fails(forwarder.NewSendError(forwarder.ErrUnusable, false))
	if _, err = fl.relayers["a"].Send(t.Context(), balancer.Start{Target: "t"}, &forwarder.Request{}); !errors.Is(err, forwarder.ErrUnusable) {
		t.Errorf("error %v", err)
	}
}

// Guards against a request whose body is sent to an instance outside the regions allowed to it.
func TestRelaysInAllowedRegions(t *testing.T) {
	tests := map[string]struct {
		regions []string
		asked   string
	}{
		"no restriction":      {nil, "b"},
		"the second peer's":   {[]string{"C"}, "c"},
		"none of the peers'":  {[]string{"D"}, ""},
		"none":                {[]string{}, ""},
		"peer without region": {[]string{""}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fl := newFleet("a", "b", "c", "d")
			rs, err := fl.relayers["a"].Send(t.Context(), balancer.Start{Target: "t"}, &forwarder.Request{Regions: tt.regions})
			if tt.asked == "" {
				var se *forwarder.SendError
				if !errors.As(err, &se) || se.MayHaveRun() || !se.OnHop() || fl.sent.Load() != 0 {
					t.Errorf("error %v, %d sends", err, fl.sent.Load())
				}
				return
			}
			if err != nil || rs.Via() != tt.asked {
				t.Errorf("through %v, error %v", rs, err)
			}
		})
	}
}

// Guards against a grant for a cold target that lasts longer at the relaying instance.
func TestGrantIsRelayed(t *testing.T) {
	tests := map[string]struct{ left, least, most time.Duration }{
		"none":    {0, 0, 0},
		"ends":    {200 * time.Millisecond, time.Millisecond, 200 * time.Millisecond},
		"too old": {-time.Second, 0, time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rq := &forwarder.Request{}
				if tt.left != 0 {
					rq.SendBefore = time.Now().Add(tt.left)
				}
				var got time.Time
				re := relayer.New(relayer.Options{
					Peers:  func() []relayer.Peer { return []relayer.Peer{{Name: "b"}} },
					Random: func() float64 { return 0 },
					Call: func(_ context.Context, _ string, message *wire.RelayRequest) (relayer.Stream, error) {
						_, decoded := relayer.DecodeRequest(message)
						got = decoded.SendBefore
						return nil, errNotDialled
					},
				})
				_, _ = re.Send(t.Context(), balancer.Start{Target: "t"}, rq)
				if got.IsZero() != (tt.left == 0) || !got.IsZero() && (time.Until(got) < tt.least || time.Until(got) > tt.most) {
					t.Errorf("the grant lasts for %v", time.Until(got))
				}
			})
		})
	}
}

// An instance relays a bounded number of requests at the same time.
func TestRelaysBoundedNumber(t *testing.T) {
	fl := newFleet("a", "b")
	release := make(chan struct{})
	fl.forward = func(context.Context) (*forwarder.Response, error) {
		<-release
		return nil, forwarder.NewSendError(errNotDialled, false)
	}
	const asked = 300
	refusals := make(chan bool, asked)
	for range asked {
		go func() {
			_ = fl.relayers["b"].Serve(t.Context(), &wire.RelayRequest{}, func(message *wire.RelayResponse) error {
				refusals <- message.GetFailure().GetRefused()
				return nil
			})
		}()
	}
	for range asked - 256 {
		if !<-refusals {
			t.Error("a request was not refused")
		}
	}
	if relayed := fl.relayers["b"].Relayed(); relayed != 256 {
		t.Errorf("%d requests are relayed", relayed)
	}
	close(release)
	for range 256 {
		if <-refusals {
			t.Error("a request within the bound was refused")
		}
	}
}

// Guards against an answer that broke off, or has no framing, and that looks whole or framed once it has come through another instance.
func TestRelayedAnswersKeepTheirEnds(t *testing.T) {
	broken := errors.New("broken off")
	tests := map[string]struct {
		unframed bool
		end      error
		// dies is set if the relaying instance dies within the answer.
		dies bool
	}{
		"framed":                             {false, nil, false},
		"without framing":                    {true, nil, false},
		"broken off":                         {false, broken, false},
		"without framing, broken off":        {true, broken, false},
		"the instance dies":                  {false, nil, true},
		"without framing, the instance dies": {true, nil, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			head := &wire.RelayResponse{Head: &wire.RelayHead{Status: http.StatusOK, Length: -1, Unframed: tt.unframed}}
			re := relayer.New(relayer.Options{
				Peers: func() []relayer.Peer { return []relayer.Peer{{Name: "b", Address: "b"}} },
				Call: func(context.Context, string, *wire.RelayRequest) (relayer.Stream, error) {
					ho := &hop{messages: make(chan *wire.RelayResponse, 4)}
					ho.messages <- head
					ho.messages <- &wire.RelayResponse{Body: []byte("part")}
					switch {
					case tt.dies:
						ho.err = io.ErrUnexpectedEOF
					case tt.end != nil:
						ho.messages <- &wire.RelayResponse{Failure: &wire.RelayFailure{MayHaveRun: true, Reason: tt.end.Error()}}
					default:
						ho.messages <- &wire.RelayResponse{Complete: true}
					}
					close(ho.messages)
					return ho, nil
				},
				Random: func() float64 { return 0 },
			})
			rs, err := re.Send(t.Context(), balancer.Start{Target: "t"}, &forwarder.Request{ID: "r"})
			if err != nil {
				t.Fatal(err)
			}
			defer rs.Close()
			text, err := io.ReadAll(rs)
			if string(text) != "part" || (err == nil) != (tt.end == nil && !tt.dies) {
				t.Errorf("got %q, %v", text, err)
			}
			if rs.Unframed() != tt.unframed {
				t.Errorf("without framing: %t, want %t", rs.Unframed(), tt.unframed)
			}
		})
	}
}
