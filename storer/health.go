package storer

import (
	"context"
	"errors"
	"net/http"
	"net/url"
)

const healthPath = "/v1/health/service/"

// Registration is a registered service in the platform's service list, which may be out of date.
type Registration struct {
	id      string
	address string
	port    int
	meta    map[string]string
}

// NewRegistration returns a registration; fakes of the store use it.
func NewRegistration(id, address string, port int, meta map[string]string) Registration {
	return Registration{id, address, port, meta}
}

// ID returns the service's identifier.
func (rg Registration) ID() string { return rg.id }

// Address returns the IP address.
func (rg Registration) Address() string { return rg.address }

// Port returns the TCP port.
func (rg Registration) Port() int { return rg.port }

// Meta returns a metadata value of the registration; empty if there is none.
func (rg Registration) Meta(name string) string { return rg.meta[name] }

type healthEntry struct {
	Service struct {
		ID      string
		Address string
		Port    int
		Meta    map[string]string
	}
}

// Registrations reads the platform's list of services with the given name. It returns ErrNotFound, ErrRefused or
// ErrUnavailable.
func (cl *Client) Registrations(ctx context.Context, service string) ([]Registration, error) {
	rq := request{operation: OperationHealth, method: http.MethodGet, path: healthPath + escape(service), query: url.Values{}}
	rp, err := cl.call(ctx, rq)
	if err != nil {
		return nil, err
	}
	var entries []healthEntry
	if err := rp.decode(&entries); err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	list := make([]Registration, 0, len(entries))
	for _, en := range entries {
		list = append(list, Registration{en.Service.ID, en.Service.Address, en.Service.Port, en.Service.Meta})
	}
	return list, nil
}
