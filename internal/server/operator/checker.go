package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"oriolemill.example/oriolemill/internal/server"
)

// roleWrite is the role of operators with write access.
const roleWrite = "write"

// nameAnyone is the operator name of every request while no operators and no
// bootstrap token are configured.
const nameAnyone = "anyone"

// nameBootstrap is the operator name of requests with the bootstrap token.
const nameBootstrap = "bootstrap"

// documentChecker checks tokens against the operators in the active
// configuration. While it has none, everyone who reaches the interface has full
// access, so that a first configuration can be applied. If bootstrapHash is set,
// only the bootstrap token has access then.
type documentChecker struct {
	snapshot func() *server.Snapshot
	// bootstrapHash is the hexadecimal SHA-256 hash of the bootstrap token, or "".
	bootstrapHash string
}

// Check implements Checker. It always compares the token with those of all
// operators, so that the response time reveals nothing about tokens.
func (d documentChecker) Check(token string, access Access) (string, error) {
	deployment := d.snapshot().Deployment()
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	if deployment == nil || len(deployment.Operators()) == 0 {
		return d.checkBootstrap(hash)
	}
	name, role := "", ""
	for _, operator := range deployment.Operators() {
		if subtle.ConstantTimeCompare(hash, []byte(operator.TokenHash())) == 1 {
			name, role = operator.Name(), operator.Role()
		}
	}
	if name == "" {
		return "", merry.Prepend(server.ErrForbidden, "unknown token")
	}
	if access == AccessWrite && role != roleWrite {
		return "", merry.Prependf(server.ErrForbidden, "%s may only read", name)
	}
	return name, nil
}

// checkBootstrap checks the hash of a token while no operators are configured.
func (d documentChecker) checkBootstrap(hash []byte) (string, error) {
	switch {
	case d.bootstrapHash == "":
		return nameAnyone, nil
	case subtle.ConstantTimeCompare(hash, []byte(d.bootstrapHash)) == 1:
		return nameBootstrap, nil
	default:
		return "", merry.Prepend(server.ErrForbidden, "not the bootstrap token")
	}
}

// bearerToken returns the token of the Authorization header, or "".
func bearerToken(c *app.RequestContext) string {
	token, _ := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	return token
}

// problem is the RFC 9457 problem document for a request without access.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// writeProblem sends a problem document with status 401 if the request has no
// token, and with 403 if its token does not permit the request.
func writeProblem(c *app.RequestContext, err error) {
	status := http.StatusForbidden
	if bearerToken(c) == "" {
		status = http.StatusUnauthorized
	}
	writeJSON(c, status, "application/problem+json", problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: err.Error(),
	})
}
