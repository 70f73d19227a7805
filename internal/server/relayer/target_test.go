package relayer

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/router"
)

// targetPlan has routes whose prefixes begin each other, and bytes that decoding changes.
func targetPlan() *server.Plan {
	plan := &server.Plan{}
	for _, prefix := range []string{"/", "/dose/", "/dose/kiln/", "/dose/%2F/", "/a;b/", "/dose//"} {
		plan.Routes = append(plan.Routes, server.Route{Name: prefix, Host: "a.example", Prefix: prefix, Targets: []server.RouteTarget{{Service: prefix, Weight: 1}}})
	}
	return plan
}

// TestRouteIsSelectedByTheForwardedPath guards against requests that are handled by the route of another path
// than the one that their replica gets: an order with an encoded slash was taken for one that may be repeated.
func TestRouteIsSelectedByTheForwardedPath(t *testing.T) {
	routes := router.New(targetPlan())
	for target, want := range map[string]struct{ route, forwarded string }{
		"/dose/kiln/1":                       {"/dose/kiln/", "/dose/kiln/1"},
		"/dose/kiln%2F1":                     {"/dose/", "/dose/kiln%2F1"},
		"/dose%2Fkiln/1":                     {"/", "/dose%2Fkiln/1"},
		"/%64ose/kiln/1":                     {"/", "/%64ose/kiln/1"},
		"/dose/x/../kiln/1":                  {"/dose/", "/dose/x/../kiln/1"},
		"/dose/%2e%2e/1":                     {"/dose/", "/dose/%2e%2e/1"},
		"//dose/kiln/1":                      {"/", "//dose/kiln/1"},
		"/dose//kiln/1":                      {"/dose//", "/dose//kiln/1"},
		"/dose/;v=1/kiln/":                   {"/dose/", "/dose/;v=1/kiln/"},
		"/a;b/1":                             {"/a;b/", "/a;b/1"},
		"/dose/%2F/1":                        {"/dose/%2F/", "/dose/%2F/1"},
		"/dose?/dose/kiln/":                  {"/", "/dose?/dose/kiln/"},
		"/dose/?x=/kiln/":                    {"/dose/", "/dose/?x=/kiln/"},
		"http://a.example/dose/kiln%2F1?q=1": {"/dose/", "/dose/kiln%2F1?q=1"},
		"http://a.example":                   {"/", "/"},
		"http://a.example?q=1":               {"/", "/?q=1"},
		"/http://a.example/dose/":            {"/", "/http://a.example/dose/"},
	} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			forwarded, path := parseTarget(target)
			is.Equal(forwarded, want.forwarded)
			is.Equal(routes.Route("a.example", path).Name, want.route)
		})
	}
}

// FuzzTarget guards against a route whose prefix does not begin the bytes that are forwarded, or is not the
// longest one that does, whatever a client sends.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{"/", "/dose/kiln%2F1", "http://a.example/dose//x", "*", "/a;b/?/dose/", "/\x00", "a://b", "/%zz"} {
		f.Add(target)
	}
	plan := targetPlan()
	routes := router.New(plan)
	f.Fuzz(func(t *testing.T, target string) {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n")))
		if err != nil {
			return
		}
		is := is.New(t)
		forwarded, path := parseTarget(request.RequestURI)
		is.True(strings.HasSuffix("/"+request.RequestURI, forwarded) || forwarded == "/" || strings.HasPrefix(forwarded, "/?"))
		is.True(strings.HasPrefix(forwarded, path))
		longest := ""
		for i := range plan.Routes {
			if prefix := plan.Routes[i].Prefix; strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
				longest = prefix
			}
		}
		selected := ""
		if route := routes.Route(request.Host, path); route != nil {
			selected = route.Prefix
		}
		if strings.EqualFold(request.Host, "a.example") {
			is.Equal(selected, longest)
		}
	})
}
