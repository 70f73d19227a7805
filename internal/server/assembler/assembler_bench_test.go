package assembler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/caller"
	"oriolemill.example/oriolemill/internal/standin"
)

// benchmarkCallers is the number of concurrent callers in benchmarks.
const benchmarkCallers = 64

// instantSpeeds are speeds of stand-ins that add next to no time.
func instantSpeeds() standin.Speeds {
	return standin.Speeds{
		PoolSlots: benchmarkCallers * 4,
		Engine:    standin.EngineSpeed{Slots: benchmarkCallers * 4, PrefillRate: 1e9},
	}
}

// measureDurations sends requests from benchmarkCallers concurrent callers and
// returns their durations in nanoseconds.
func measureDurations(b *testing.B, requests int, send func() error) *hdrhistogram.Histogram {
	b.Helper()
	durations := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	requestQueue := make(chan struct{}, requests)
	for range requests {
		requestQueue <- struct{}{}
	}
	close(requestQueue)
	for range benchmarkCallers {
		group.Go(func() {
			for range requestQueue {
				begin := time.Now()
				if err := send(); err != nil {
					b.Error(err)
					return
				}
				duration := time.Since(begin)
				mu.Lock()
				_ = durations.RecordValue(int64(duration))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return durations
}

// BenchmarkInstance compares a request of four stages through an instance with the
// same four calls made directly, one after the other, in alternating rounds.
func BenchmarkInstance(b *testing.B) {
	s := newDeploymentWithSpeeds(b, "lutvik", instantSpeeds())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchmarkCallers}}
	sendThroughInstance := func() error { return postRequest(client, s.instance.CallerAddress()) }
	sendDirect := newDirectRequest(s)
	const requestsPerRound = 640
	measureDurations(b, requestsPerRound, sendThroughInstance)
	measureDurations(b, requestsPerRound, sendDirect)
	instanceDurations := hdrhistogram.New(1, int64(time.Minute), 3)
	directDurations := hdrhistogram.New(1, int64(time.Minute), 3)
	for b.Loop() {
		instanceDurations.Merge(measureDurations(b, requestsPerRound, sendThroughInstance))
		directDurations.Merge(measureDurations(b, requestsPerRound, sendDirect))
	}
	ratio := func(percentile float64) float64 {
		return float64(instanceDurations.ValueAtQuantile(percentile)) / float64(directDurations.ValueAtQuantile(percentile))
	}
	b.ReportMetric(float64(instanceDurations.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(directDurations.ValueAtQuantile(50))/1e6, "direct-p50-ms")
	b.ReportMetric(float64(instanceDurations.ValueAtQuantile(99))/1e6, "p99-ms")
	b.ReportMetric(float64(directDurations.ValueAtQuantile(99))/1e6, "direct-p99-ms")
	b.ReportMetric(ratio(50), "p50-ratio")
	b.ReportMetric(ratio(99), "p99-ratio")
}

// postRequest sends one request through the instance at address.
func postRequest(client *http.Client, address string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/pipelines/boiler-log", strings.NewReader(upsetRequest))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer demo-skoghammar")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		return errors.New(string(body))
	}
	return err
}

// newDirectRequest returns a function that makes the calls of one request without an
// instance.
func newDirectRequest(s *testDeployment) func() error {
	upstream := func(service string) *server.Upstream {
		replicas := s.environment.Replicas(service)
		id := replicas[rand.IntN(len(replicas))]
		return server.NewUpstream(server.Listing{ID: id, Service: service, Address: s.environment.Upstream(id).Address()}, &server.Gauge{})
	}
	stages := []string{"encoders", "retrievers", "rerankers"}
	client := caller.New()
	return func() error {
		call := server.Call{Workspace: "skoghammar", CacheSalt: "skoghammar", MaxTokens: 48, Input: json.RawMessage(upsetRequest)}
		for _, stage := range stages {
			call.AttemptID = server.NewID()
			call.Stage = stage
			answer, err := client.Run(context.Background(), upstream(stage), call)
			if err != nil {
				return err
			}
			call.Input = answer.Output
		}
		call.AttemptID = server.NewID()
		call.Input, _ = json.Marshal(string(call.Input))
		_, err := client.Generate(context.Background(), upstream("oriole-pool"), call, func(server.Token) error { return nil })
		return err
	}
}

// BenchmarkStream measures the time per token of streams through an instance whose
// engine takes next to no time, so that it is the time of the relay with all hops and
// checks.
func BenchmarkStream(b *testing.B) {
	s := newDeploymentWithSpeeds(b, "uwazi", instantSpeeds())
	prompt := strings.Repeat("word ", 400)
	body := `{"kind":"request","input":"` + prompt + `"}`
	const tokens = 96
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, "http://"+s.instance.CallerAddress()+"/v1/pipelines/drafting", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer demo-habari")
		request.Header.Set("Accept", "text/event-stream")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || !bytes.Contains(data, []byte(`"total":96`)) {
			b.Fatal("stream failed or is incomplete", err, string(data))
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}

// BenchmarkRelay measures the time that the instance's reader takes to parse, check
// and forward one token of a stream.
func BenchmarkRelay(b *testing.B) {
	const tokens = 10000
	attempt := server.NewID()
	var response bytes.Buffer
	encoder := json.NewEncoder(&response)
	for i := range tokens {
		_ = encoder.Encode(messenger.Chunk{AttemptID: attempt.String(), Workspace: "w", Offset: i, Text: " word"})
	}
	_ = encoder.Encode(messenger.Chunk{AttemptID: attempt.String(), Workspace: "w", IsLast: true, TotalTokens: tokens})
	faultInjector := standin.NewFaultInjector()
	replica, err := standin.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(response.Bytes())
	}), faultInjector)
	if err != nil {
		b.Fatal(err)
	}
	defer replica.Close()
	upstream := server.NewUpstream(server.Listing{ID: "e", Address: replica.Address()}, &server.Gauge{})
	client := caller.New()
	call := server.Call{AttemptID: attempt, Workspace: "w", Input: json.RawMessage(`"p"`)}
	for b.Loop() {
		if _, err := client.Generate(context.Background(), upstream, call, func(server.Token) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
