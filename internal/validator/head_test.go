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
