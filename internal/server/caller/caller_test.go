package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/caller"
	"oriolemill.example/oriolemill/internal/server/signer"
	"oriolemill.example/oriolemill/internal/standin"
)

// workspace is the workspace of the tests' calls.
const workspace = "skoghammar"

// upstreamAt returns an upstream with the given address.
func upstreamAt(address string) *server.Upstream {
	return server.NewUpstream(server.Listing{ID: "u-0", Service: "s", Address: address}, &server.Gauge{})
}

func newCall(input string) server.Call {
	encoded, _ := json.Marshal(input)
	return server.Call{
		AttemptID: server.NewID(), Workspace: workspace, Stage: "stage", CacheSalt: workspace, MaxTokens: 12,
		Deadline: time.Now().Add(time.Minute), Input: encoded,
	}
}

func echo(_ string, input json.RawMessage) json.RawMessage { return input }

// startPool starts a pool replica and returns it with its faults.
func startPool(t *testing.T) (*server.Upstream, *standin.FaultInjector) {
	t.Helper()
	faultInjector := standin.NewFaultInjector()
	replica, err := standin.Listen("127.0.0.1:0", standin.NewPool(faultInjector, 4, 0, echo).Handler(), faultInjector)
	is.New(t).NoErr(err)
	t.Cleanup(replica.Close)
	return upstreamAt(replica.Address()), faultInjector
}

// startEngine starts an engine replica and returns it with its faults.
func startEngine(t *testing.T) (*server.Upstream, *standin.FaultInjector) {
	t.Helper()
	faultInjector := standin.NewFaultInjector()
	speed := standin.EngineSpeed{Slots: 4, PrefillRate: 1e6, StepTime: 100 * time.Microsecond}
	replica, err := standin.Listen("127.0.0.1:0", standin.NewEngine(faultInjector, speed).Handler(), faultInjector)
	is.New(t).NoErr(err)
	t.Cleanup(replica.Close)
	return upstreamAt(replica.Address()), faultInjector
}

// invalidResponses returns the faults after which nothing of the response may be
// used, with the error that each must cause.
func invalidResponses() map[string]struct {
	fault standin.Fault
	cause error
} {
	return map[string]struct {
		fault standin.Fault
		cause error
	}{
		"crossed":      {standin.Fault{CrossedAnswers: 1}, server.ErrMismatch},
		"foreign":      {standin.Fault{ForeignAnswers: 1}, server.ErrMismatch},
		"wrong length": {standin.Fault{WrongLengths: 1}, server.ErrMismatch},
		"twice":        {standin.Fault{DuplicateAnswers: 1}, server.ErrMismatch},
		"cut":          {standin.Fault{CutAnswers: 1}, server.ErrUnavailable},
		"error":        {standin.Fault{Errors: 1}, server.ErrUnavailable},
		"reset":        {standin.Fault{Resets: 1}, server.ErrUnavailable},
		"lost":         {standin.Fault{LostAnswers: 1}, server.ErrUnavailable},
		"leaving":      {standin.Fault{Leaving: true}, server.ErrLeaving},
	}
}

func TestRunRejectsForeignAndIncompleteResponses(t *testing.T) {
	for name, invalid := range invalidResponses() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			upstream, faults := startPool(t)
			c := caller.New()
			defer c.Close()
			_, err := c.Run(t.Context(), upstream, newCall("another call's words"))
			is.NoErr(err)
			faults.Set(invalid.fault)
			answer, err := c.Run(t.Context(), upstream, newCall("own words"))
			is.True(errors.Is(err, invalid.cause))
			is.Equal(len(answer.Output), 0)
			faults.Set(standin.Fault{})
			answer, err = c.Run(t.Context(), upstream, newCall("own words"))
			is.NoErr(err)
			is.Equal(string(answer.Output), `"own words"`)
		})
	}
}

func TestGenerateRejectsForeignAndIncompleteStreams(t *testing.T) {
	cases := map[string]standin.Fault{
		"token twice":  {DuplicateAnswers: 1},
		"token absent": {OmittedTokens: 1},
		"crossed":      {CrossedAnswers: 1},
		"foreign":      {ForeignAnswers: 1},
		"cut":          {CutAnswers: 1},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			upstream, engineFaults := startEngine(t)
			engineFaults.Set(fault)
			c := caller.New()
			defer c.Close()
			const prompt = "one two three four five six seven eight nine ten eleven twelve thirteen"
			want := standin.GeneratedTokens(prompt, 12)
			tokens := []string{}
			handleToken := func(token server.Token) error {
				is.Equal(token.Offset, len(tokens)) // the caller sees neither gaps nor duplicates
				tokens = append(tokens, token.Text)
				return nil
			}
			call := newCall(prompt)
			_, err := c.Generate(t.Context(), upstream, call, handleToken)
			is.True(err != nil)
			is.Equal(tokens, want[:len(tokens)])
			call.AttemptID = server.NewID()
			call.ResumePrefix = tokens
			answer, err := c.Generate(t.Context(), upstream, call, handleToken)
			is.NoErr(err)
			is.Equal(tokens, want)
			is.Equal(answer.TotalTokens, len(want))
			var text string
			is.NoErr(json.Unmarshal(answer.Output, &text))
			is.Equal(text, strings.Join(want, ""))
		})
	}
}

// TestWorkspacesDoNotShareCachedPrefixes sends the same prompt to one engine for
// two workspaces. Each workspace may only hit cached prefixes of its own prompts.
func TestWorkspacesDoNotShareCachedPrefixes(t *testing.T) {
	is := is.New(t)
	upstream, _ := startEngine(t)
	c := caller.New()
	defer c.Close()
	prompt := strings.Repeat("the same words of a shared document ", 40)
	prefill := func(workspace string) int {
		call := newCall(prompt)
		call.Workspace, call.CacheSalt = workspace, workspace
		answer, err := c.Generate(t.Context(), upstream, call, func(server.Token) error { return nil })
		is.NoErr(err)
		return answer.Cost.PrefillTokens
	}
	first := prefill("skoghammar")
	is.Equal(prefill("norrbruk"), first)      // no hit on the other workspace's prefix
	is.True(prefill("skoghammar") < first/10) // hit on the own prefix
}

func TestCallEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	upstream, faults := startPool(t)
	faults.Set(standin.Fault{Paused: true})
	c := caller.New()
	defer c.Close()
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(10*time.Millisecond, func() { cancel(server.ErrDeadline) })
	_, err := c.Run(ctx, upstream, newCall("words"))
	is.True(errors.Is(err, server.ErrDeadline)) // the upstream never responds
}

// startClosingService starts a service that responds to the first responseCount
// requests and closes the connection on all later ones. It returns the upstream and
// the number of requests received.
func startClosingService(t *testing.T, responseCount int) (*server.Upstream, *atomic.Int64) {
	t.Helper()
	var received atomic.Int64
	faultInjector := standin.NewFaultInjector()
	ledger := standin.NewLedger()
	service := standin.NewPlainService(faultInjector, ledger, false, false, 0).Handler()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if int(received.Add(1)) <= responseCount {
			service.ServeHTTP(w, r)
			return
		}
		connection, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	})
	replica, err := standin.Listen("127.0.0.1:0", handler, faultInjector)
	is.New(t).NoErr(err)
	t.Cleanup(replica.Close)
	return upstreamAt(replica.Address()), &received
}

func TestFailedOperateIsNotRepeated(t *testing.T) {
	for _, responseCount := range []int{0, 1} {
		is := is.New(t)
		upstream, received := startClosingService(t, responseCount)
		c := caller.New()
		defer c.Close()
		for range responseCount {
			_, sendState, err := c.Operate(t.Context(), upstream, orderCall("first"))
			is.NoErr(err)
			is.Equal(sendState, server.SendStateAnswered)
		}
		_, sendState, err := c.Operate(t.Context(), upstream, orderCall("second"))
		is.True(err != nil)
		is.Equal(sendState, server.SendStateUnknown)
		is.Equal(int(received.Load()), responseCount+1) // the client did not repeat the call on its own
	}
}

func orderCall(key string) server.Call {
	call := newCall("dose")
	call.Stage = "dose"
	call.IdempotencyKey = key
	return call
}

func TestOperateFollowsNoRedirect(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	faultInjector := standin.NewFaultInjector()
	replica, err := standin.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}), faultInjector)
	is.NoErr(err)
	defer replica.Close()
	c := caller.New()
	defer c.Close()
	_, sendState, err := c.Operate(t.Context(), upstreamAt(replica.Address()), orderCall("k"))
	is.True(err != nil)
	is.Equal(sendState, server.SendStateUnknown)
	is.Equal(received.Load(), int64(1))
}

func TestOperateReportsRefusedConnectionAsNotSent(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := socket.Addr().String()
	is.NoErr(socket.Close())
	c := caller.New()
	defer c.Close()
	_, sendState, err := c.Operate(t.Context(), upstreamAt(address), orderCall("k"))
	is.True(err != nil)
	is.Equal(sendState, server.SendStateUnsent)
}

// TestEngineAcceptsCommandsOnlyWithItsKey sends a command signed with the engine's
// key, without a key and with another key.
func TestEngineAcceptsCommandsOnlyWithItsKey(t *testing.T) {
	is := is.New(t)
	verifier := signer.New("k", time.Now)
	engine := standin.NewEngine(standin.NewFaultInjector(), standin.DefaultSpeeds().Engine,
		standin.WithEngineTokenCheck(func(token string) error { return verifier.Check("s", token) }))
	replica, err := standin.Listen("127.0.0.1:0", engine.Handler(), standin.NewFaultInjector())
	is.NoErr(err)
	defer replica.Close()
	for key, accepted := range map[string]bool{"k": true, "": false, "other": false} {
		before := len(engine.Commands())
		c := caller.New(caller.WithToken(signer.New(key, time.Now).Token))
		err := c.SendCommand(t.Context(), upstreamAt(replica.Address()), messenger.Command{Action: "role", Role: "both"})
		c.Close()
		is.Equal(errors.Is(err, server.ErrForbidden), !accepted)
		is.Equal(len(engine.Commands()) > before, accepted)
	}
}
