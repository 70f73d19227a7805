package validator

import (
	"net/http"

	"github.com/ansel1/merry/v2"
)

// The status codes of HTTP, RFC 9110, section 15. The parser of net/http takes any three characters that are a number.
const (
	minStatusCode = 100
	maxStatusCode = 599
)

// CheckHead returns an error if the head of a response is malformed. It is called for each head, informational ones
// included.
func CheckHead(response *http.Response) error {
	return checkHead(response.StatusCode)
}

func checkHead(statusCode int) error {
	if statusCode < minStatusCode || statusCode > maxStatusCode {
		return merry.Errorf("malformed head: status %d", statusCode)
	}
	return nil
}
