package validator

import (
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
)

// The status codes of HTTP, RFC 9110, section 15. The parser of net/http takes any three characters that are a number.
const (
	minStatusCode = 100
	maxStatusCode = 599
)

// tokenPunctuation are the characters of a token that are neither letters nor digits, RFC 9110, section 5.6.2.
const tokenPunctuation = "!#$%&'*+-.^_`|~"

// CheckHead returns an error if the head of a response is malformed. It is called for each head, informational ones
// included.
func CheckHead(response *http.Response) error {
	return checkHead(response.StatusCode, response.Header)
}

// checkHead is CheckHead for a status and the fields. The parser of net/http keeps names with blanks as they are: a
// field that it, or its reader, should have acted on is then passed over.
func checkHead(statusCode int, header http.Header) error {
	if statusCode < minStatusCode || statusCode > maxStatusCode {
		return merry.Errorf("malformed head: status %d", statusCode)
	}
	for name := range header {
		if !isToken(name) {
			return merry.Errorf("malformed head: field name %q", name)
		}
	}
	return nil
}

// isToken reports whether a text is a token, as names of fields are.
func isToken(text string) bool {
	for _, c := range []byte(text) {
		isAlphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !isAlphanumeric && !strings.ContainsRune(tokenPunctuation, rune(c)) {
			return false
		}
	}
	return text != ""
}
