// Package signer creates and checks the tokens with which a service can verify that a
// call comes from this deployment.
package signer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// tokenTTL is how far a token's time may lie in the past or, as clocks differ, in the
// future.
const tokenTTL = time.Minute

// Signer creates and checks tokens with a key that the deployment and its
// services share. It is safe for concurrent use.
type Signer struct {
	key []byte
	now func() time.Time
}

// New returns a Signer with a key and a clock. With an empty key Token returns "" and
// Check refuses every token.
func New(key string, now func() time.Time) *Signer {
	return &Signer{key: []byte(key), now: now}
}

// Token returns "seconds.service.mac" for a service: the Unix time, the service's name
// and the HMAC-SHA-256 of "seconds.service" in hexadecimal digits.
func (s *Signer) Token(service string) string {
	if len(s.key) == 0 {
		return ""
	}
	payload := strconv.FormatInt(s.now().Unix(), 10) + "." + service
	return payload + "." + s.mac(payload)
}

// mac returns the HMAC-SHA-256 of a payload in hexadecimal digits.
func (s *Signer) mac(payload string) string {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(payload))
	return hex.EncodeToString(mac.Sum(nil))
}

// Check returns ErrForbidden for a token that was not created for the service with the
// same key, or whose time differs from now by more than tokenTTL.
func (s *Signer) Check(service, token string) error {
	separator := strings.LastIndexByte(token, '.')
	if len(s.key) == 0 || separator < 0 || !hmac.Equal([]byte(token[separator+1:]), []byte(s.mac(token[:separator]))) {
		return merry.Prepend(server.ErrForbidden, "token is not signed with this deployment's key")
	}
	timeText, name, _ := strings.Cut(token[:separator], ".")
	seconds, err := strconv.ParseInt(timeText, 10, 64)
	if err != nil || name != service {
		return merry.Prepend(server.ErrForbidden, "token is malformed or for another service")
	}
	if age := s.now().Sub(time.Unix(seconds, 0)); age > tokenTTL || age < -tokenTTL {
		return merry.Prepend(server.ErrForbidden, "token has expired or is from the future")
	}
	return nil
}
