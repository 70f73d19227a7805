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

// WithRetiring sets the models that receive no new work at the upstream.
func WithRetiring(models []string) UpstreamOption {
	return func(u *Upstream) { u.retiringModels = models }
}

// Model returns the loaded model that serves the model want: want itself or, if
// want has no version, its lexically greatest loaded version. A retiring model
// serves no new work. An upstream that has reported no models is assumed to
// serve every model.
func (u *Upstream) Model(want string) (string, bool) {
	if want == "" || len(u.load.Models) == 0 {
		return want, true
	}
	best, found := "", false
	for _, model := range u.load.Models {
		matches := model == want || (!strings.Contains(want, versionSeparator) && ModelBase(model) == want)
		if matches && !slices.Contains(u.retiringModels, model) && (!found || model > best) {
			best, found = model, true
		}
	}
	return best, found
}
