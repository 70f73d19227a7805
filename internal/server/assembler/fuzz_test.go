package assembler_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// FuzzOrderRequest sends arbitrary order requests. Every response must state its
// outcome, and none may be an internal error.
func FuzzOrderRequest(f *testing.F) {
	for _, seed := range []struct{ body, key, deadline string }{
		{doseOrder, "k", ""},
		{doseOrder, "", ""},
		{upsetRequest, "", "100"},
		{"", "", ""},
		{"null", "k", "-1"},
		{"[]", "k", "x"},
		{`{"kind":"dosing","input":null}`, "k", ""},
		{`{"kind":"dosing","input":1,"more":2}`, "../k", "1"},
		{`{"kind":"dosing","input":{"a":"\ud800"}}`, strings.Repeat("k", 201), "99999999999"},
		{`{"kind":"kiln","input":1}`, "k", "1e3"},
		{"{\"kind\":\"\x00\",\"input\":1}", "k\tk", ""},
	} {
		f.Add(seed.body, seed.key, seed.deadline)
	}
	s := newDeployment(f, "lutvik")
	f.Fuzz(func(t *testing.T, body, key, deadline string) {
		is := is.New(t)
		request, err := http.NewRequest(http.MethodPost, "http://"+s.instance.CallerAddress()+"/v1/services/mill-gateway/dose", strings.NewReader(body))
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer demo-skoghammar")
		request.Header.Set("Idempotency-Key", key)
		request.Header.Set("X-Deadline-Ms", deadline)
		response, err := http.DefaultClient.Do(request)
		if err != nil && strings.Contains(err.Error(), "invalid header field value") {
			t.Skip("the client refuses the header itself")
		}
		is.NoErr(err)
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		is.NoErr(err)
		var answer struct{ Outcome string }
		is.NoErr(json.Unmarshal(text, &answer))
		switch answer.Outcome {
		case "done":
			is.Equal(response.StatusCode, http.StatusOK)
		case "not-run", "unknown":
			is.True(response.StatusCode >= http.StatusBadRequest)
			is.True(response.StatusCode != http.StatusInternalServerError)
		default:
			t.Fatalf("response with status %d has no known outcome: %s", response.StatusCode, text)
		}
	})
}
