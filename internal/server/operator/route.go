package operator

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
)

// Access is the access level that a route requires.
type Access uint8

// Access levels, in ascending order.
const (
	// AccessOpen requires no token.
	AccessOpen Access = iota
	// AccessRead requires the token of an operator of any role.
	AccessRead
	// AccessWrite requires the token of an operator with write access.
	AccessWrite
)

// Route is one route of the operator interface.
type Route struct {
	// Method is an HTTP method.
	Method string
	// Path is a path pattern of hertz, such as "/v1/orders/:key".
	Path string
	// Access is the access level that is checked before Serve is called.
	Access Access
	// Serve handles the request. NameOf returns the operator who sent it.
	Serve app.HandlerFunc
}

// TokenChecker checks the tokens of operators.
type TokenChecker interface {
	// Check returns the name of the operator whose token it is, or ErrForbidden if
	// the token does not permit the access.
	Check(token string, access Access) (name string, err error)
}

// contextKeyOperator is the key of the operator name in a request context.
const contextKeyOperator = "operator"

// NameOf returns the name of the operator who sent the request, or "" on open
// routes.
func NameOf(c *app.RequestContext) string { return c.GetString(contextKeyOperator) }

// authorize returns a handler that checks the token and then serves the route.
func (o *Operator) authorize(route Route) app.HandlerFunc {
	if route.Access == AccessOpen {
		return route.Serve
	}
	return func(ctx context.Context, c *app.RequestContext) {
		name, err := o.tokenChecker.Check(bearerToken(c), route.Access)
		if err != nil {
			writeProblem(c, err)
			return
		}
		c.Set(contextKeyOperator, name)
		route.Serve(ctx, c)
	}
}
