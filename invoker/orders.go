package invoker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"lovagebank/inspector"
	"lovagebank/wire"
)

// Errors of adapter orders that a holder handles individually.
var (
	// ErrOutdatedFencing means that the target has received orders from a newer holder.
	ErrOutdatedFencing = errors.New("the target refused an old fencing number")
	// ErrAlreadyLoaded means that the target has loaded the adapter or is loading it.
	ErrAlreadyLoaded = errors.New("the adapter is already loaded")
	// ErrNoSlot means that no adapter slot is free.
	ErrNoSlot = errors.New("the target has no free slot")
	// ErrNotLoaded means that the target has not loaded the adapter.
	ErrNotLoaded = errors.New("the adapter is not loaded")
)

const (
	pathLoad          = "/v1/load_lora_adapter"
	pathUnload        = "/v1/unload_lora_adapter"
	pathLoadReport    = "/load"
	maxResponseBytes  = 1 << 20
	alreadyLoadedText = "already"
)

// adapterOrder is the body of vLLM's requests to load and unload an adapter.
type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// LoadAdapter orders a target to load an adapter, named "adapter@version", and returns when it is loaded. It returns
// ErrOutdatedFencing, ErrNoSlot or ErrAlreadyLoaded, wrapped, if the target refused for that reason.
func (iv *Invoker) LoadAdapter(ctx context.Context, tg *wire.Target, model string, fencing uint64) error {
	return iv.postOrder(ctx, tg, pathLoad, adapterOrder{Name: model, Path: model}, fencing)
}

// UnloadAdapter orders a target to unload an adapter. It returns ErrOutdatedFencing or ErrNotLoaded, wrapped, if the target
// refused for that reason.
func (iv *Invoker) UnloadAdapter(ctx context.Context, tg *wire.Target, model string, fencing uint64) error {
	return iv.postOrder(ctx, tg, pathUnload, adapterOrder{Name: model}, fencing)
}

func (iv *Invoker) postOrder(ctx context.Context, tg *wire.Target, path string, order adapterOrder, fencing uint64) error {
	ctx, cancel := context.WithTimeout(ctx, iv.options.OrderTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	address := "http://" + tg.GetAddress() + path
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	hr.Header.Set("Content-Type", "application/json")
	hr.Header.Set(headerFencing, strconv.FormatUint(fencing, 10))
	answer, status, err := iv.roundTrip(hr)
	if err != nil {
		return oops.In("invoker").Wrapf(err, "%s at target %s", path, tg.GetId())
	}
	if err := orderError(path, status, answer); err != nil {
		return oops.In("invoker").Wrapf(err, "%s of %s at target %s", path, order.Name, tg.GetId())
	}
	return nil
}

func orderError(path string, status int, answer []byte) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusPreconditionFailed:
		return ErrOutdatedFencing
	case status == http.StatusConflict:
		return ErrNoSlot
	case status == http.StatusNotFound && path == pathUnload:
		return ErrNotLoaded
	case status == http.StatusBadRequest && strings.Contains(string(answer), alreadyLoadedText):
		return ErrAlreadyLoaded
	default:
		return oops.Errorf("status %d", status)
	}
}

func (iv *Invoker) roundTrip(hr *http.Request) (answer []byte, status int, err error) {
	response, err := iv.options.Transport.RoundTrip(hr)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, release, err := inspector.Read(response.Body, maxResponseBytes, iv.options.Budget)
	// Orders and reports are few at a time and are decoded at once.
	release()
	return answer, response.StatusCode, err
}

// reportBody is the JSON format of a load report.
type reportBody struct {
	Boot     string          `json:"boot"`
	Slots    int             `json:"slots"`
	Batch    int             `json:"batch"`
	Running  int             `json:"running"`
	Waiting  int             `json:"waiting"`
	Adapters []AdapterReport `json:"adapters"`
	AgeMs    int64           `json:"age-ms"`
}

// FetchLoadReport fetches a target's load report.
func (iv *Invoker) FetchLoadReport(ctx context.Context, tg *wire.Target) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, iv.options.ReportTimeout)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+tg.GetAddress()+pathLoadReport, http.NoBody)
	if err != nil {
		return LoadReport{}, err
	}
	requested := time.Now()
	answer, status, err := iv.roundTrip(hr)
	if err != nil {
		return LoadReport{}, oops.In("invoker").Wrapf(err, "report of target %s", tg.GetId())
	}
	var body reportBody
	if err := inspector.Decode(answer, &body, iv.options.Budget); status != http.StatusOK || err != nil {
		return LoadReport{}, oops.In("invoker").Errorf("report of target %s is malformed, status %d", tg.GetId(), status)
	}
	at := requested.Add(-time.Duration(body.AgeMs) * time.Millisecond)
	return NewLoadReport(body.Boot, body.Slots, body.Batch, body.Running, body.Waiting, body.Adapters, at), nil
}

// Reachable reports whether a target accepts connections.
func (iv *Invoker) Reachable(ctx context.Context, tg *wire.Target) bool {
	dialer := net.Dialer{Timeout: iv.options.DialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", tg.GetAddress())
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}
