package relayer

import "strings"

// parseTarget returns the target of a request as it is forwarded, and the path in it that selects the route.
// Both are bytes of the request line: a path that was decoded, or cleaned, might select another route than
// the replica would.
func parseTarget(requestURI string) (target, path string) {
	target = requestURI
	if scheme, rest, isAbsolute := strings.Cut(requestURI, "://"); isAbsolute && !strings.ContainsAny(scheme, "/?") {
		target = "/"
		if begin := strings.IndexAny(rest, "/?"); begin >= 0 {
			target = rest[begin:]
		}
		if target[0] == '?' {
			target = "/" + target
		}
	}
	path, _, _ = strings.Cut(target, "?")
	return target, path
}
