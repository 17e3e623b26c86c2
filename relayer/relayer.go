// Package relayer sends requests to targets through other instances while this one is cut off from the targets, and
// does so for others. What is relayed is a single send: the instance that took the request decides everything else, and
// the other one only provides its connection. It sends relayed requests over its own connections, never through a third
// instance.
package relayer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"lovagebank/balancer"
	"lovagebank/exchanger"
	"lovagebank/forwarder"
	"lovagebank/inspector"
	"lovagebank/wire"
)

const (
	// maxPeers is the number of instances that are asked to relay one send. Only one of them may have sent it.
	maxPeers = 2
	// avoidTime is how long an instance that could not be called, or refused to relay, is asked only if there is no other.
	avoidTime = 500 * time.Millisecond
	// maxRelayed limits the requests that an instance relays at the same time.
	maxRelayed = 256
	// chunkSize is the largest part of a body that is passed on at once, in bytes.
	chunkSize = 16 << 10
)

var (
	// ErrNoPeer means that no other instance that reaches the targets could be asked.
	ErrNoPeer = errors.New("cut off from the targets, and no other instance relays")
	// errHopBroken means that the answer of another instance has broken off.
	errHopBroken = errors.New("the relaying instance broke off")
)

// Peer is an instance that reaches targets.
type Peer struct {
	Name    string
	Address string
	// Region is the region in which the instance runs; empty if it is not known.
	Region string
}

// Stream is the answer of a relaying instance.
type Stream interface {
	Receive() bool
	Msg() *wire.RelayResponse
	Err() error
	Close() error
}

// Options configures a Relayer.
type Options struct {
	// Peers returns the other instances that reach targets.
	Peers func() []Peer
	// Call asks the instance at an address to relay a send.
	Call func(ctx context.Context, address string, rq *wire.RelayRequest) (Stream, error)
	// Refuses reports whether this instance relays nothing now, as it is cut off itself or shuts down.
	Refuses func() bool
	// Forward sends a request to a target for another instance. It returns an error like those of forwarder.Send.
	Forward func(ctx context.Context, rq *wire.RelayRequest) (*forwarder.Response, error)
	// Random returns a number in [0, 1).
	Random func() float64
}

// Relayer relays sends. It is safe for concurrent use.
type Relayer struct {
	op Options

	mu sync.Mutex
	// pending counts the sends that each instance relays for this one, and avoidedUntil is the time until which an
	// instance is avoided.
	pending      map[string]int
	avoidedUntil map[string]time.Time
	// relayed counts the sends that this instance relays.
	relayed int
}

// New returns a Relayer.
func New(op Options) *Relayer {
	return &Relayer{op: op, pending: make(map[string]int), avoidedUntil: make(map[string]time.Time)}
}

// Relayed returns the number of sends that this instance relays for others now.
func (re *Relayer) Relayed() int {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.relayed
}

// Available reports whether there is an instance to ask.
func (re *Relayer) Available() bool { return len(re.op.Peers()) > 0 }

// Send sends a request to a start of a target through another instance. Errors are of type *forwarder.SendError.
func (re *Relayer) Send(ctx context.Context, ts balancer.Start, rq *forwarder.Request) (*forwarder.Response, error) {
	message := encodeRequest(ts, rq)
	tried := make(map[string]bool)
	for len(tried) < maxPeers {
		pe, ok := re.choose(tried, rq.Regions)
		if !ok {
			break
		}
		tried[pe.Name] = true
		if rq.Usable != nil && !rq.Usable() {
			return nil, forwarder.NewSendError(forwarder.ErrUnusable, false)
		}
		rs, err := re.sendThrough(ctx, pe, message)
		if !errors.Is(err, errNotRelayed) {
			return rs, err
		}
		re.avoid(pe)
	}
	return nil, forwarder.NewHopError(ErrNoPeer, false)
}

// errNotRelayed means that an instance has not sent the request and will not.
var errNotRelayed = errors.New("not relayed")

// choose picks two instances in the given regions at random (nil for all regions) and returns the one with fewer
// pending sends. Instances that failed recently are chosen last.
func (re *Relayer) choose(tried map[string]bool, regions []string) (Peer, bool) {
	peers := re.op.Peers()
	re.mu.Lock()
	defer re.mu.Unlock()
	now := time.Now()
	var good, avoided []Peer
	for _, pe := range peers {
		switch {
		case tried[pe.Name]:
		case regions != nil && (pe.Region == "" || !slices.Contains(regions, pe.Region)):
		case now.Before(re.avoidedUntil[pe.Name]):
			avoided = append(avoided, pe)
		default:
			good = append(good, pe)
		}
	}
	if len(good) == 0 {
		good = avoided
	}
	if len(good) == 0 {
		return Peer{}, false
	}
	first, second := re.pick(good), re.pick(good)
	if re.pending[second.Name] < re.pending[first.Name] {
		return second, true
	}
	return first, true
}

func (re *Relayer) pick(peers []Peer) Peer {
	return peers[int(re.op.Random()*float64(len(peers)))%len(peers)]
}

func (re *Relayer) avoid(pe Peer) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.avoidedUntil[pe.Name] = time.Now().Add(avoidTime)
}

// sendThrough sends a request through one instance. It returns errNotRelayed if another one may be asked.
func (re *Relayer) sendThrough(ctx context.Context, pe Peer, message *wire.RelayRequest) (*forwarder.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	end := re.begin(pe, cancel)
	stream, err := re.op.Call(ctx, pe.Address, message)
	if err == nil && !stream.Receive() {
		err = errors.Join(errHopBroken, stream.Err())
		_ = stream.Close()
	}
	if err != nil {
		end()
		if exchanger.NotCalled(err) {
			return nil, errNotRelayed
		}
		return nil, forwarder.NewHopError(fmt.Errorf("through %s: %w", pe.Name, err), true)
	}
	if fa := stream.Msg().GetFailure(); fa != nil {
		end()
		_ = stream.Close()
		return nil, sendError(pe, fa)
	}
	head := stream.Msg().GetHead()
	header := decodeHeader(head.GetHeaders())
	if err := checkHead(pe, head, header); err != nil {
		end()
		_ = stream.Close()
		return nil, err
	}
	return newResponse(pe, stream, header, end), nil
}

// checkHead checks the head that an instance passes on. Instances of earlier versions pass on what is no head of an answer.
func checkHead(pe Peer, head *wire.RelayHead, header http.Header) error {
	if head == nil {
		return forwarder.NewHopError(fmt.Errorf("through %s: %w", pe.Name, errHopBroken), true)
	}
	if err := inspector.CheckHead(int(head.GetStatus()), header); err != nil {
		return forwarder.NewSendError(fmt.Errorf("through %s: %w", pe.Name, err), true)
	}
	return nil
}

// begin counts a send through an instance; the returned function ends it.
func (re *Relayer) begin(pe Peer, cancel context.CancelFunc) (end func()) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.pending[pe.Name]++
	return sync.OnceFunc(func() {
		cancel()
		re.mu.Lock()
		defer re.mu.Unlock()
		if re.pending[pe.Name]--; re.pending[pe.Name] == 0 {
			delete(re.pending, pe.Name)
		}
	})
}

// sendError returns the error that an instance reports.
func sendError(pe Peer, fa *wire.RelayFailure) error {
	switch {
	case fa.GetRefused():
		return errNotRelayed
	case fa.GetUnusable():
		return forwarder.NewSendError(forwarder.ErrUnusable, false)
	default:
		return forwarder.NewSendError(fmt.Errorf("through %s: %s", pe.Name, fa.GetReason()), fa.GetMayHaveRun())
	}
}

// newResponse returns the response that an instance passes on; its head has been received and checked.
func newResponse(pe Peer, stream Stream, header http.Header, end func()) *forwarder.Response {
	head := stream.Msg().GetHead()
	return forwarder.NewResponse(forwarder.ResponseOptions{
		Status: int(head.GetStatus()), Header: header, Length: head.GetLength(), Unframed: head.GetUnframed(),
		Via: pe.Name, Body: &bodyReader{peer: pe, stream: stream}, Abort: end,
		Close: func(bool) {
			end()
			_ = stream.Close()
		},
	})
}

func encodeHeader(header http.Header) []*wire.RelayHeader {
	headers := make([]*wire.RelayHeader, 0, len(header))
	for name, values := range header {
		headers = append(headers, &wire.RelayHeader{Name: name, Values: values})
	}
	return headers
}

func decodeHeader(headers []*wire.RelayHeader) http.Header {
	header := make(http.Header, len(headers))
	for _, rh := range headers {
		header[rh.GetName()] = rh.GetValues()
	}
	return header
}

func encodeRequest(ts balancer.Start, rq *forwarder.Request) *wire.RelayRequest {
	var grantLeft time.Duration
	if !rq.SendBefore.IsZero() {
		grantLeft = max(time.Until(rq.SendBefore), time.Millisecond)
	}
	return &wire.RelayRequest{
		GrantLeftMs: int32(grantLeft.Milliseconds()),
		Target:      ts.Target, StartedMs: ts.Started.UnixMilli(), Method: rq.Method, Uri: rq.URI, Host: rq.Host,
		Headers: encodeHeader(rq.Header), Body: rq.Body, HasBody: rq.HasBody, Id: rq.ID,
	}
}

// DecodeRequest returns the request to a target in a message, and the start of the target.
func DecodeRequest(message *wire.RelayRequest) (balancer.Start, *forwarder.Request) {
	var sendBefore time.Time
	if left := message.GetGrantLeftMs(); left > 0 {
		sendBefore = time.Now().Add(time.Duration(left) * time.Millisecond)
	}
	return balancer.Start{Target: message.GetTarget(), Started: time.UnixMilli(message.GetStartedMs())}, &forwarder.Request{
		SendBefore: sendBefore,
		Method:     message.GetMethod(), URI: message.GetUri(), Host: message.GetHost(), Header: decodeHeader(message.GetHeaders()),
		Body: message.GetBody(), HasBody: message.GetHasBody(), ID: message.GetId(),
	}
}
