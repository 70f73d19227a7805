package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/pkg/client"
)

// apply brings the configuration and all contracts in force.
func (s *demo) apply(ctx context.Context) error {
	begin := time.Now()
	version, err := s.applyDocument(ctx, configurer.ConfigName, s.example.Config(), "example", 0)
	if err != nil {
		return err
	}
	for _, workspace := range s.workspaceNames() {
		version, err = s.applyDocument(ctx, configurer.ContractName(workspace), s.example.Contracts()[workspace], "example", 0)
		if err != nil {
			return err
		}
	}
	if err := s.awaitVersion(ctx, version); err != nil {
		return err
	}
	s.transcript.printLine("configuration and %d contracts: version %d in force on all %d instances, each knows it of the others, after %s",
		len(s.contracts), version, len(s.instances), formatMillis(time.Since(begin)))
	return nil
}

// answer sends each text through its pipeline, and one question to a service.
func (s *demo) answer(ctx context.Context) error {
	workspaces := s.workspaceNames()
	for i, kind := range slices.Sorted(maps.Keys(s.example.Texts())) {
		workspace := workspaces[i%len(workspaces)]
		text := s.example.Texts()[kind]
		answer, err := s.sendAndCheck(ctx, i%len(s.instances), workspace, kind, text)
		if err != nil {
			return err
		}
		if err := checkEnding(answer.Text(), text); err != nil {
			return merry.Prepend(err, kind)
		}
	}
	_, err := s.sendAndCheck(ctx, 0, s.scenario.workspace, s.scenario.queryKind, s.scenario.queryInput)
	return err
}

// sendAndCheck sends one request, checks what holds for every answer and notes it.
func (s *demo) sendAndCheck(ctx context.Context, instance int, workspace, kind string, input any) (*client.Answer, error) {
	request, err := s.newRequest(workspace, kind, input)
	if err != nil {
		return nil, err
	}
	answer, took, err := s.send(ctx, instance, workspace, request)
	if err != nil {
		return nil, merry.Prepend(err, kind)
	}
	if err := s.checkAnswer(answer, workspace, kind, took); err != nil {
		return nil, err
	}
	s.transcript.printLine("%-9s of %-10s at %-12s %s %7s: %s", kind, workspace, s.datacentre(instance),
		answer.Outcome, formatMillis(took), formatCosts(answer, s.stageNames(workspace, kind)))
	return answer, nil
}

// send sends a request and returns its answer with the time that it took. What
// the contract's limit refuses as not run is sent again when the refusal says.
func (s *demo) send(ctx context.Context, instance int, workspace string, request client.Request) (*client.Answer, time.Duration, error) {
	for {
		begin := time.Now()
		answer, err := s.callerClient(instance, workspace).Call(ctx, request)
		var refusal *client.Problem
		if !errors.As(err, &refusal) || refusal.Status != http.StatusTooManyRequests || refusal.RetryAfter() == 0 {
			return answer, time.Since(begin), err
		}
		s.rateLimited.Add(1)
		select {
		case <-ctx.Done():
			return nil, 0, err
		case <-time.After(refusal.RetryAfter()):
		}
	}
}

// checkAnswer checks the outcome, the deadline and the cost of every stage.
func (s *demo) checkAnswer(answer *client.Answer, workspace, kind string, took time.Duration) error {
	if answer.Outcome != client.OutcomeDone {
		return merry.Errorf("%s: outcome %s, want done", kind, answer.Outcome)
	}
	if deadline := s.contracts[workspace].Kind(kind).Deadline(); took > deadline {
		return merry.Errorf("%s: took %s, the contract says %s", kind, took, deadline)
	}
	for _, stage := range s.stageNames(workspace, kind) {
		if answer.Costs[stage].Calls < 1 {
			return merry.Errorf("%s: no cost of stage %s", kind, stage)
		}
	}
	return nil
}

// checkEnding checks that an answer is about the text that was sent: the engines'
// stand-ins end their answers with the prompt's last words.
func checkEnding(answer, text string) error {
	words := strings.Fields(text)
	tail := strings.Join(words[len(words)-min(len(words), endingWords):], " ")
	if !strings.HasSuffix(answer, tail) {
		return merry.Errorf("answer does not end with the own words %q", tail)
	}
	return nil
}

// endingWords is how many last words of a text its answer must show.
const endingWords = 8

// crowd sends every text of every workspace at once, each with a mark of its
// own, and checks that each answer shows its own mark.
func (s *demo) crowd(ctx context.Context) error {
	begin := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	count := 0
	for _, workspace := range s.workspaceNames() {
		for kind, text := range s.example.Texts() {
			instance := count % len(s.instances)
			marked := fmt.Sprintf("%s\nref %s/%s/%d", text, workspace, kind, count)
			count++
			group.Go(func() error { return s.sendMarked(ctx, instance, workspace, kind, marked) })
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	s.transcript.printLine("%d requests of %d workspaces at once: all done, each with its own words, %s; limits put off %d for a while",
		count, len(s.contracts), formatMillis(time.Since(begin)), s.rateLimited.Load())
	return nil
}

func (s *demo) sendMarked(ctx context.Context, instance int, workspace, kind, marked string) error {
	request, err := s.newRequest(workspace, kind, marked)
	if err != nil {
		return err
	}
	answer, took, err := s.send(ctx, instance, workspace, request)
	if err != nil {
		return merry.Prepend(err, kind)
	}
	if err := s.checkAnswer(answer, workspace, kind, took); err != nil {
		return err
	}
	return checkEnding(answer.Text(), marked)
}

// stream streams one answer and compares it with the same answer in one piece.
func (s *demo) stream(ctx context.Context) error {
	workspace, kind := s.scenario.workspace, s.scenario.streamedKind
	text := s.example.Texts()[kind]
	request, err := s.newRequest(workspace, kind, text)
	if err != nil {
		return err
	}
	begin := time.Now()
	var first time.Duration
	var streamed strings.Builder
	tokens := 0
	end, err := s.callerClient(1, workspace).Stream(ctx, request, func(token client.Token) error {
		if tokens == 0 {
			first = time.Since(begin)
		}
		tokens++
		streamed.WriteString(token.Text)
		return nil
	})
	if err != nil {
		return err
	}
	took := time.Since(begin)
	if err := s.checkAnswer(end, workspace, kind, took); err != nil {
		return err
	}
	if end.Total != tokens {
		return merry.Errorf("the end names %d tokens, %d came", end.Total, tokens)
	}
	whole, _, err := s.send(ctx, 1, workspace, request)
	if err != nil {
		return err
	}
	if whole.Text() != streamed.String() {
		return merry.New("the stream differs from the same answer in one piece")
	}
	s.transcript.printLine("%-9s of %-10s at %-12s done %7s: first token after %s, %d tokens and an end that names %d",
		kind, workspace, s.datacentre(1), formatMillis(took), formatMillis(first), tokens, end.Total)
	return nil
}
