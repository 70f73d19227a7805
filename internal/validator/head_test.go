package validator_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/validator"
)

// checkText returns the error of CheckHead for a head, which net/http must accept.
func checkText(t *testing.T, head string) error {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n\r\n")), nil)
	is.New(t).NoErr(err)
	return validator.CheckHead(response)
}

// Guards against statuses that net/http accepts and that are none.
func TestStatusIsChecked(t *testing.T) {
	is := is.New(t)
	for _, status := range []string{"100", "199", "200", "404", "599"} {
		is.NoErr(checkText(t, "HTTP/1.1 "+status+" Odd"))
	}
	for _, status := range []string{"000", "001", "099", "+20", "+99", "-00", "600", "999"} {
		is.True(checkText(t, "HTTP/1.1 "+status+" Odd") != nil)
	}
}

// Guards against names of fields that net/http accepts and that are none.
func TestFieldNamesAreChecked(t *testing.T) {
	is := is.New(t)
	for _, line := range []string{"X-A: 1", "x-a:", "!#$%&'*+-.^_`|~09aZ: 1", "X-A: \u00e9\t1"} {
		is.NoErr(checkText(t, "HTTP/1.1 200 OK\r\n"+line))
	}
	for _, line := range []string{"X A: 1", "X-A : 1", "Content-Length : 1", "Transfer-Encoding : chunked", "Connection : close"} {
		is.True(checkText(t, "HTTP/1.1 200 OK\r\nX-B: 1\r\n"+line) != nil)
	}
}
