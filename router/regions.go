package router

import "slices"

// Regions returns the regions that the route's requests may reach; nil for no restriction.
func (rt *Route) Regions() []string { return rt.op.Regions }

// Regions returns the regions that the organisation's requests may reach; nil for no restriction.
func (og *Organisation) Regions() []string {
	if og == nil {
		return nil
	}
	return og.op.Regions
}

// AllowedRegions returns the regions that a request of an organisation on a route may reach; nil for no restriction. If
// both restrict it, these are the regions that both allow, and there may be none. The organisation is nil for a request
// without one.
func AllowedRegions(rt *Route, og *Organisation) []string {
	route, organisation := rt.Regions(), og.Regions()
	switch {
	case route == nil:
		return organisation
	case organisation == nil:
		return route
	}
	both := make([]string, 0, len(route))
	for _, region := range route {
		if slices.Contains(organisation, region) {
			both = append(both, region)
		}
	}
	return both
}
