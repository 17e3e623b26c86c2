// Package router holds the operators' active configuration: routes, services, organisations and callers' limits. It
// matches a request to its route and a key to its organisation. A Configuration is immutable.
package router

import (
	"sort"
	"strings"
	"time"
)

// Limits bounds the size of callers' requests and the time that callers may take.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header block, in bytes.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body, in bytes.
	BodyBytes int64
	// HeaderTimeout is the maximum time for the header block to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time that a keep-alive connection may stay without a request.
	IdleTimeout time.Duration
}

// Options configures a Configuration.
type Options struct {
	// Version is the number that the operators gave this configuration.
	Version int64
	// Revision is the store's revision at which the configuration was written.
	Revision int64
	// Routes, Services and Organisations are the entries of the configuration.
	Routes        []*Route
	Services      []*Service
	Organisations []*Organisation
	// Limits applies to all callers.
	Limits Limits
	// Problems names what is invalid in the configuration but does not prevent its use.
	Problems []string
}

// Configuration is one accepted version of the operators' routes, services, organisations and limits.
type Configuration struct {
	version       int64
	revision      int64
	hosts         map[string][]*Route
	services      map[string]*Service
	organisations []*Organisation
	byKey         map[string]*Organisation
	limits        Limits
	problems      []string
}

// New returns a configuration. The routes of each host are sorted by prefix, longest first.
func New(op Options) *Configuration {
	cf := &Configuration{
		version:       op.Version,
		revision:      op.Revision,
		hosts:         make(map[string][]*Route),
		services:      make(map[string]*Service, len(op.Services)),
		organisations: op.Organisations,
		byKey:         make(map[string]*Organisation),
		limits:        op.Limits,
		problems:      op.Problems,
	}
	for _, rt := range op.Routes {
		cf.hosts[rt.Host()] = append(cf.hosts[rt.Host()], rt)
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

// Version returns the number that the operators gave the configuration.
func (cf *Configuration) Version() int64 { return cf.version }

// Revision returns the store's revision at which the configuration was written.
func (cf *Configuration) Revision() int64 { return cf.revision }

// Limits returns the limits for callers.
func (cf *Configuration) Limits() Limits { return cf.limits }

// Problems returns what is invalid in the configuration but does not prevent its use.
func (cf *Configuration) Problems() []string { return cf.problems }

// Organisations returns all organisations.
func (cf *Configuration) Organisations() []*Organisation { return cf.organisations }

// HasOrganisations reports whether any organisation is configured, and so whether non-public routes require a key.
func (cf *Configuration) HasOrganisations() bool { return len(cf.organisations) > 0 }

// Service returns the service with the given name and whether it exists.
func (cf *Configuration) Service(name string) (*Service, bool) {
	sv, ok := cf.services[name]
	return sv, ok
}

// Services returns all services, keyed by name.
func (cf *Configuration) Services() map[string]*Service { return cf.services }

// HasColdTargets reports whether a service has targets that may be cold.
func (cf *Configuration) HasColdTargets() bool {
	for _, sv := range cf.services {
		if sv.ColdTime() > 0 {
			return true
		}
	}
	return false
}

// Routes returns all routes.
func (cf *Configuration) Routes() []*Route {
	var all []*Route
	for _, routes := range cf.hosts {
		all = append(all, routes...)
	}
	return all
}

// Match returns the route for a host and path, and whether there is one. The host may include a port, which is ignored,
// and is compared without regard to case. Of several matching routes, the one with the longest prefix wins.
func (cf *Configuration) Match(host, path string) (*Route, bool) {
	for _, rt := range cf.hosts[CanonicalHost(host)] {
		if strings.HasPrefix(path, rt.op.Prefix) {
			return rt, true
		}
	}
	return nil, false
}

// CanonicalHost returns a request's host as routes name it: without its port and in lower case.
func CanonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Authenticate returns the organisation that a key belongs to and whether there is one.
func (cf *Configuration) Authenticate(key string) (*Organisation, bool) {
	og, ok := cf.byKey[key]
	return og, ok
}
