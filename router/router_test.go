package router_test

import (
	"testing"

	"lovagebank/router"
)

func configuration() *router.Configuration {
	routes := []*router.Route{
		router.NewRoute(router.RouteOptions{Name: "short", Host: "a.example", Prefix: "/x/"}),
		router.NewRoute(router.RouteOptions{Name: "long", Host: "a.example", Prefix: "/x/y/"}),
		router.NewRoute(router.RouteOptions{Name: "other", Host: "B.example", Prefix: "/"}),
	}
	return router.New(router.Options{Routes: routes, Organisations: []*router.Organisation{
		router.NewOrganisation(router.OrganisationOptions{Name: "o", Keys: []string{"k1", "k2"}}),
	}})
}

func TestMatch(t *testing.T) {
	tests := map[string]struct{ host, path, want string }{
		"the prefix":                  {"a.example", "/x/1", "short"},
		"the longest prefix":          {"a.example", "/x/y/1", "long"},
		"a prefix ends with a slash":  {"a.example", "/x/yz", "short"},
		"no prefix":                   {"a.example", "/z/", ""},
		"another host":                {"c.example", "/x/1", ""},
		"hosts have no case":          {"b.EXAMPLE", "/anything", "other"},
		"the port does not count":     {"a.example:8080", "/x/1", "short"},
		"dots are not resolved":       {"a.example", "/x/../z", "short"},
		"nor are escapes":             {"a.example", "/x/y%2f", "short"},
		"the prefix without its end":  {"a.example", "/x", ""},
		"paths have case, all of it":  {"a.example", "/X/1", ""},
		"an empty host has no routes": {"", "/x/1", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rt, ok := configuration().Match(tt.host, tt.path)
			if ok != (tt.want != "") || ok && rt.Name() != tt.want {
				t.Errorf("matched %v, want %q", rt, tt.want)
			}
		})
	}
}

func TestAuthenticate(t *testing.T) {
	cf := configuration()
	for _, key := range []string{"k1", "k2"} {
		if og, ok := cf.Authenticate(key); !ok || og.Name() != "o" {
			t.Errorf("%s is not known", key)
		}
	}
	if _, ok := cf.Authenticate(""); ok {
		t.Error("the empty key is known")
	}
}

func TestShares(t *testing.T) {
	rt := router.NewRoute(router.RouteOptions{Shares: []router.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}})
	tests := map[string]struct {
		point float64
		want  string
	}{
		"the first part": {0, "a"}, "its end": {0.899, "a"}, "the second": {0.9, "b"}, "the end": {0.999, "b"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := rt.PickService(tt.point); got != tt.want {
				t.Errorf("%v goes to %q, want %q", tt.point, got, tt.want)
			}
		})
	}
	if got := router.NewRoute(router.RouteOptions{}).PickService(0.5); got != "" {
		t.Errorf("a route without services goes to %q", got)
	}
}

func TestRepeatable(t *testing.T) {
	tests := map[string]struct {
		op   router.RouteOptions
		want bool
	}{
		"safe":                 {router.RouteOptions{Kind: router.Safe}, true},
		"unsafe":               {router.RouteOptions{Kind: router.Unsafe}, false},
		"unsafe, if resumable": {router.RouteOptions{Kind: router.Unsafe, Resumable: true}, false},
		"stream":               {router.RouteOptions{Kind: router.Stream}, false},
		"resumable stream":     {router.RouteOptions{Kind: router.Stream, Resumable: true}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := router.NewRoute(tt.op).Repeatable(); got != tt.want {
				t.Errorf("repeatable %v", got)
			}
		})
	}
}

func TestCost(t *testing.T) {
	tokens := 700
	tests := map[string]struct {
		op     router.OrganisationOptions
		tokens *int
		want   float64
	}{
		"tokens":                  {router.OrganisationOptions{CountsTokens: true, DefaultTokens: 200}, &tokens, 700},
		"tokens, without a count": {router.OrganisationOptions{CountsTokens: true, DefaultTokens: 200}, nil, 200},
		"requests":                {router.OrganisationOptions{DefaultTokens: 200}, &tokens, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := router.NewOrganisation(tt.op).Cost(tt.tokens); got != tt.want {
				t.Errorf("cost %v, want %v", got, tt.want)
			}
		})
	}
}
