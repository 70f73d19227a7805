package measurer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/internal/validator"
)

const (
	// deadlineGrace is how long the client waits for a response after the request's
	// deadline, so that a late response is recorded as late.
	deadlineGrace = time.Second
	// maxLineBytes bounds one line of a token stream, and the body of a response that
	// is no stream.
	maxLineBytes = 1 << 20
)

// requestResult is the response to one request as the client received it.
type requestResult struct {
	arrival arrival
	// outcome is the outcome that the server reported, unknown if it reported none.
	outcome server.Outcome
	// isComplete reports whether the response ended with the outcome "done", before or
	// after the deadline.
	isComplete bool
	// isLate reports whether the response ended after the request's deadline.
	isLate bool
	// hasWrongTokens reports whether a token was missing, duplicated or different from
	// the expected text.
	hasWrongTokens bool
	// hasRetryHint reports whether the response had a Retry-After header.
	hasRetryHint bool
	// duration is the time from sending the request to the end of the response.
	duration time.Duration
	// firstTokenDelay is the time from sending the request to the first token; zero if
	// there was none.
	firstTokenDelay time.Duration
	// tokenGaps are the times between successive tokens.
	tokenGaps  []time.Duration
	stageCosts map[string]stageCost
	// failure says why the request failed: a transport error, or the detail that the
	// server reported. It is empty if there was no failure.
	failure string
}

// stageCost is the cost of one stage as the response reports it.
type stageCost struct {
	Calls         int     `json:"calls"`
	BusyMillis    float64 `json:"busy_ms"`
	PrefillTokens int     `json:"prefill_tokens"`
	DecodeTokens  int     `json:"decode_tokens"`
}

// endMessage holds the fields that are read from the end event of a stream, from the
// JSON response to an order and from a problem document.
type endMessage struct {
	Outcome     server.Outcome       `json:"outcome"`
	Costs       map[string]stageCost `json:"costs"`
	TotalTokens int                  `json:"total"`
	Detail      string               `json:"detail"`
}

// client sends requests to the instances in turn. It is safe for concurrent use.
type client struct {
	httpClient *http.Client
	addresses  []string
}

func newClient(addresses []string) *client {
	return &client{
		httpClient: &http.Client{Transport: validator.NewTransport(&http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true})},
		addresses:  addresses,
	}
}

// send sends the request of a and reads the response to its end, or until
// deadlineGrace after the deadline.
func (c *client) send(ctx context.Context, a arrival) requestResult {
	ctx, cancel := context.WithTimeout(ctx, a.deadline+deadlineGrace)
	defer cancel()
	result := requestResult{arrival: a, outcome: server.OutcomeUnknown}
	begin := time.Now()
	response, err := c.post(ctx, a)
	if err != nil {
		result.failure = err.Error()
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK || a.kind == orderKind {
		result.readBody(response)
	} else {
		result.readStream(response.Body, begin)
	}
	result.duration = time.Since(begin)
	result.isLate = result.duration > a.deadline
	return result
}

func (c *client) post(ctx context.Context, a arrival) (*http.Response, error) {
	path := "/v1/pipelines/answer"
	if a.kind == orderKind {
		path = "/v1/services/gateway/file"
	}
	body, err := json.Marshal(map[string]string{"kind": a.kind, "input": a.input})
	if err != nil {
		return nil, err
	}
	address := c.addresses[a.sequence%len(c.addresses)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+workspaceKey(a.workspace))
	request.Header.Set("Accept", "text/event-stream")
	if a.kind == orderKind {
		request.Header.Set("Accept", "application/json")
		request.Header.Set("Idempotency-Key", a.idempotencyKey)
	}
	return c.httpClient.Do(request)
}

// readBody reads a response that is no stream: the result of an order or an error.
func (r *requestResult) readBody(response *http.Response) {
	var m endMessage
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLineBytes)).Decode(&m); err != nil {
		r.failure = err.Error()
		return
	}
	r.outcome = m.Outcome
	r.stageCosts = m.Costs
	r.failure = m.Detail
	r.hasRetryHint = response.Header.Get("Retry-After") != ""
	r.isComplete = response.StatusCode == http.StatusOK && m.Outcome == server.OutcomeDone
}

// readStream reads a token stream and compares each token with the text that the
// stand-in engines generate for the request's input. begin is when the request was
// sent.
func (r *requestResult) readStream(body io.Reader, begin time.Time) {
	want := standin.GeneratedTokens(r.arrival.input, r.arrival.outputTokens)
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	nextOffset := 0
	eventName := ""
	lastTokenAt := begin
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event:"); ok {
			eventName = strings.TrimSpace(name)
			continue
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		if eventName != "token" {
			r.readEnd(data, nextOffset, len(want))
			return
		}
		r.checkToken(data, want, nextOffset)
		now := time.Now()
		if nextOffset == 0 {
			r.firstTokenDelay = now.Sub(begin)
		} else {
			r.tokenGaps = append(r.tokenGaps, now.Sub(lastTokenAt))
		}
		lastTokenAt = now
		nextOffset++
	}
	r.failure = "stream without end"
	if err := scanner.Err(); err != nil {
		r.failure = err.Error()
	}
}

// checkToken compares the data of a token event with the offset and text that the event
// must have: offset and want[offset].
func (r *requestResult) checkToken(data string, want []string, offset int) {
	var t struct {
		Offset int    `json:"offset"`
		Text   string `json:"text"`
	}
	if json.Unmarshal([]byte(data), &t) != nil || t.Offset != offset || offset >= len(want) || t.Text != want[offset] {
		r.hasWrongTokens = true
	}
}

// readEnd reads the end event of a stream. receivedTokens is the number of tokens before
// it, and wantTokens the expected number.
func (r *requestResult) readEnd(data string, receivedTokens, wantTokens int) {
	var m endMessage
	if err := json.Unmarshal([]byte(data), &m); err != nil {
		r.failure = err.Error()
		return
	}
	r.outcome, r.stageCosts, r.failure = m.Outcome, m.Costs, m.Detail
	r.isComplete = m.Outcome == server.OutcomeDone
	if r.isComplete && (receivedTokens != wantTokens || m.TotalTokens != wantTokens) {
		r.hasWrongTokens = true
	}
}
