package invoker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"lovagebank/wire"
)

// The errors of adapter orders that a holder acts on.
var (
	// ErrOutdatedFencing means that the target has orders of a newer holder.
	ErrOutdatedFencing = errors.New("the target refused an old fencing number")
	// ErrAlreadyLoaded means that the target loads the adapter or has it.
	ErrAlreadyLoaded = errors.New("the adapter is there already")
	// ErrNoSlot means that no adapter slot is free.
	ErrNoSlot = errors.New("the target has no free slot")
	// ErrNotLoaded means that the target does not have the adapter.
	ErrNotLoaded = errors.New("the adapter is not there")
)

const (
	pathLoad       = "/v1/load_lora_adapter"
	pathUnload     = "/v1/unload_lora_adapter"
	pathReport     = "/load"
	maxOrderBytes  = 1 << 20
	alreadyMessage = "already"
)

// adapterOrder is the body of vLLM's adapter orders.
type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// LoadAdapter orders a target to load an adapter, named "adapter@version", and returns when it is there.
func (iv *Invoker) LoadAdapter(ctx context.Context, tg *wire.Target, model string, fencing uint64) error {
	return iv.order(ctx, tg, pathLoad, adapterOrder{Name: model, Path: model}, fencing)
}

// UnloadAdapter orders a target to drop an adapter.
func (iv *Invoker) UnloadAdapter(ctx context.Context, tg *wire.Target, model string, fencing uint64) error {
	return iv.order(ctx, tg, pathUnload, adapterOrder{Name: model}, fencing)
}

func (iv *Invoker) order(ctx context.Context, tg *wire.Target, path string, order adapterOrder, fencing uint64) error {
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
	answer, status, err := iv.fetch(hr)
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
	case status == http.StatusBadRequest && strings.Contains(string(answer), alreadyMessage):
		return ErrAlreadyLoaded
	default:
		return oops.Errorf("status %d", status)
	}
}

func (iv *Invoker) fetch(hr *http.Request) (answer []byte, status int, err error) {
	response, err := iv.options.Transport.RoundTrip(hr)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxOrderBytes))
	return answer, response.StatusCode, err
}

// reportBody is a load report as targets send it.
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
	hr, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+tg.GetAddress()+pathReport, http.NoBody)
	if err != nil {
		return LoadReport{}, err
	}
	asked := time.Now()
	answer, status, err := iv.fetch(hr)
	if err != nil {
		return LoadReport{}, oops.In("invoker").Wrapf(err, "report of target %s", tg.GetId())
	}
	var body reportBody
	if err := json.Unmarshal(answer, &body); status != http.StatusOK || err != nil {
		return LoadReport{}, oops.In("invoker").Errorf("report of target %s is malformed, status %d", tg.GetId(), status)
	}
	at := asked.Add(-time.Duration(body.AgeMs) * time.Millisecond)
	return NewLoadReport(body.Boot, body.Slots, body.Batch, body.Running, body.Waiting, body.Adapters, at), nil
}

// Reachable tells whether a target accepts connections.
func (iv *Invoker) Reachable(ctx context.Context, tg *wire.Target) bool {
	dialer := net.Dialer{Timeout: iv.options.DialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", tg.GetAddress())
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}
