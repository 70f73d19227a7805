package assembler_test

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/assembler"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/server/storer"
	"oriolemill.example/oriolemill/internal/standin"
)

// TestRateLimitRefusesExcessRequests sends more requests than a contract with a rate of
// one per second allows. The excess must be refused before any stage, with a Retry-After
// header; the limiter's own tests check that its time is right, under virtual time.
func TestRateLimitRefusesExcessRequests(t *testing.T) {
	is := is.New(t)
	environment, deployment := newStandIns(t, "lutvik", standin.DefaultSpeeds())
	writer := configurer.New(storer.New(environment.PlatformURL()), time.Now)
	stored, err := writer.Document(t.Context(), configurer.ContractName("tallnas"))
	is.NoErr(err)
	text := regexp.MustCompile(`(?m)^rate: \d+$`).ReplaceAllString(stored.Text, "rate: 1")
	_, err = writer.Apply(t.Context(), configurer.Change{ID: server.NewID(), Name: stored.Name, Base: stored.Version, Text: text, Operator: "test", Reason: "slow"})
	is.NoErr(err)
	s := startDeployment(is, t, environment, assembler.Settings{Datacentre: deployment.Datacentres()[0].Name()})
	responses := make(chan *http.Response, 40)
	var group sync.WaitGroup
	for range cap(responses) {
		group.Go(func() { responses <- s.postAndReadBody(t, "/v1/pipelines/boiler-log", "demo-tallnas", upsetRequest) })
	}
	group.Wait()
	close(responses)
	refused := 0
	for response := range responses {
		if response.StatusCode == http.StatusOK {
			continue
		}
		refused++
		is.Equal(response.StatusCode, http.StatusTooManyRequests)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.True(strings.Contains(string(body), `"outcome":"not-run"`))
		seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
		is.NoErr(err)
		is.True(seconds >= 1)
	}
	is.True(refused > 0) // of forty concurrent requests one per second may run
}

// postAndReadBody sends one request and returns the response with its body buffered.
func (s *testDeployment) postAndReadBody(t *testing.T, path, key, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.instance.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return &http.Response{}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return &http.Response{}
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Error(err)
	}
	_ = response.Body.Close()
	response.Body = io.NopCloser(strings.NewReader(string(data)))
	return response
}
