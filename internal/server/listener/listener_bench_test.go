package listener_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/runner"
)

// BenchmarkEvents measures the time of one token from the runner to a caller that
// reads over loopback: encode, write and flush.
func BenchmarkEvents(b *testing.B) {
	const tokens = 2000
	f := newTestListener(b)
	f.runner.setBehaviour(func(ctx context.Context, _ *server.Request, handleToken server.TokenHandler) *runner.Result {
		for i := range tokens {
			if err := handleToken(server.Token{Offset: i, Text: " word"}); err != nil {
				return runFailing(server.OutcomeFailed, err, 0)(ctx, nil, nil)
			}
		}
		return runner.NewResult(server.OutcomeDone, server.Answer{TotalTokens: tokens}, nil)
	})
	for b.Loop() {
		request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, f.baseURL+"/v1/pipelines/short", strings.NewReader(validBody))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer key-w")
		request.Header.Set("Accept", "text/event-stream")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || !strings.Contains(string(data), `"total":2000`) {
			b.Fatal("stream is incomplete", err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
