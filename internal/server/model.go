package server

import (
	"slices"
	"strings"
)

// versionSeparator separates the name of a model from its version.
const versionSeparator = "@"

// ModelBase returns the name of a model without its version.
func ModelBase(model string) string {
	base, _, _ := strings.Cut(model, versionSeparator)
	return base
}

// WithRetiringModels sets the loaded models of the upstream that receive no new work.
func WithRetiringModels(models []string) UpstreamOption {
	return func(u *Upstream) { u.retiringModels = models }
}

// ServingModel returns the loaded model that serves requests for a model, or false if
// there is none. A model that is requested without a version is served by its
// lexically greatest loaded version. Retiring models serve no new work. An
// upstream that has reported no models is assumed to serve every model.
func (u *Upstream) ServingModel(requested string) (string, bool) {
	if requested == "" || len(u.load.Models) == 0 {
		return requested, true
	}
	best, found := "", false
	for _, model := range u.load.Models {
		matches := model == requested || (!strings.Contains(requested, versionSeparator) && ModelBase(model) == requested)
		if matches && !slices.Contains(u.retiringModels, model) && (!found || model > best) {
			best, found = model, true
		}
	}
	return best, found
}
