// Package router holds the operators' configuration in force: routes, services, organisations and callers' limits. It
// matches a request to its route and a key to its organisation. A Configuration is immutable once built.
package router

import (
	"sort"
	"strings"
	"time"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// HeaderBytes bounds the size of a request's header block.
	HeaderBytes int
	// BodyBytes bounds the size of a request's body.
	BodyBytes int64
	// HeaderTimeout bounds how long the header block may take to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long a kept connection may stay without a request.
	IdleTimeout time.Duration
}

// Options build a Configuration.
type Options struct {
	// Version is the operators' own number of this configuration.
	Version int64
	// Revision is the store's revision at which it was written.
	Revision int64
	// Routes, Services and Organisations are what the configuration lists.
	Routes        []*Route
	Services      []*Service
	Organisations []*Organisation
	// Limits bound callers.
	Limits Limits
}

// Configuration is one accepted version of the operators' lists.
type Configuration struct {
	version       int64
	revision      int64
	hosts         map[string][]*Route
	services      map[string]*Service
	organisations []*Organisation
	byKey         map[string]*Organisation
	limits        Limits
}

// New builds a configuration; the routes of a host are kept longest prefix first.
func New(op Options) *Configuration {
	cf := &Configuration{
		version:       op.Version,
		revision:      op.Revision,
		hosts:         make(map[string][]*Route),
		services:      make(map[string]*Service, len(op.Services)),
		organisations: op.Organisations,
		byKey:         make(map[string]*Organisation),
		limits:        op.Limits,
	}
	for _, rt := range op.Routes {
		host := strings.ToLower(rt.op.Host)
		cf.hosts[host] = append(cf.hosts[host], rt)
	}
	for _, routes := range cf.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].op.Prefix) > len(routes[j].op.Prefix) })
	}
	for _, sv := range op.Services {
		cf.services[sv.Name()] = sv
	}
	for _, og := range op.Organisations {
		for _, key := range og.op.Keys {
			cf.byKey[key] = og
		}
	}
	return cf
}

// Version is the operators' number of the configuration.
func (cf *Configuration) Version() int64 { return cf.version }

// Revision is the store's revision at which the configuration was written.
func (cf *Configuration) Revision() int64 { return cf.revision }

// Limits bound what callers may send.
func (cf *Configuration) Limits() Limits { return cf.limits }

// Organisations lists all organisations.
func (cf *Configuration) Organisations() []*Organisation { return cf.organisations }

// HasOrganisations tells whether routes that are not public ask for a key.
func (cf *Configuration) HasOrganisations() bool { return len(cf.organisations) > 0 }

// Service returns the service of a name.
func (cf *Configuration) Service(name string) (*Service, bool) {
	sv, ok := cf.services[name]
	return sv, ok
}

// Services returns all services by name.
func (cf *Configuration) Services() map[string]*Service { return cf.services }

// Match returns the route of a host (as the request names it, with or without a port) and path: the longest prefix
// that begins the path.
func (cf *Configuration) Match(host, path string) (*Route, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, rt := range cf.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, rt.op.Prefix) {
			return rt, true
		}
	}
	return nil, false
}

// Authenticate returns the organisation that holds a key.
func (cf *Configuration) Authenticate(key string) (*Organisation, bool) {
	og, ok := cf.byKey[key]
	return og, ok
}
