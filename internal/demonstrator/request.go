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

// apply applies the configuration and all contracts, and waits until they are in force
// on all instances.
func (s *demo) apply(ctx context.Context) error {
	start := time.Now()
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
	s.transcript.printLine("configuration and %d contracts: version %d in force on all %d instances, and each has received this from the others, after %s",
		len(s.contracts), version, len(s.instances), formatMillis(time.Since(start)))
	return nil
}

// answer sends each text of the example through its pipeline, and one query to a plain
// service.
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

// sendAndCheck sends one request, makes the checks that apply to every answer, and
// prints a line for it.
func (s *demo) sendAndCheck(ctx context.Context, instance int, workspace, kind string, input any) (*client.Answer, error) {
	request, err := s.newRequest(workspace, kind, input)
	if err != nil {
		return nil, err
	}
	answer, duration, err := s.send(ctx, instance, workspace, request)
	if err != nil {
		return nil, merry.Prepend(err, kind)
	}
	if err := s.checkAnswer(answer, workspace, kind, duration); err != nil {
		return nil, err
	}
	s.transcript.printLine("%-9s of %-10s at %-12s %s %7s: %s", kind, workspace, s.datacentre(instance),
		answer.Outcome, formatMillis(duration), formatCosts(answer, s.stageNames(workspace, kind)))
	return answer, nil
}

// send sends a request and returns the answer with its duration. A request that the
// contract's limit rejected, and that was therefore not run, is sent again after the
// delay that the rejection states.
func (s *demo) send(ctx context.Context, instance int, workspace string, request client.Request) (*client.Answer, time.Duration, error) {
	for {
		start := time.Now()
		answer, err := s.callerClient(instance, workspace).Call(ctx, request)
		var problem *client.Problem
		if !errors.As(err, &problem) || problem.Status != http.StatusTooManyRequests || problem.RetryAfter() == 0 {
			return answer, time.Since(start), err
		}
		s.rateLimitedRequests.Add(1)
		select {
		case <-ctx.Done():
			return nil, 0, err
		case <-time.After(problem.RetryAfter()):
		}
	}
}

// checkAnswer checks that the outcome is done, that the deadline was met and that every
// stage has a cost.
func (s *demo) checkAnswer(answer *client.Answer, workspace, kind string, duration time.Duration) error {
	if answer.Outcome != client.OutcomeDone {
		return merry.Errorf("%s: outcome %s, want done", kind, answer.Outcome)
	}
	if deadline := s.contracts[workspace].Kind(kind).Deadline(); duration > deadline {
		return merry.Errorf("%s: took %s, the contract's deadline is %s", kind, duration, deadline)
	}
	for _, stage := range s.stageNames(workspace, kind) {
		if answer.Costs[stage].Calls < 1 {
			return merry.Errorf("%s: the answer contains no cost of stage %s", kind, stage)
		}
	}
	return nil
}

// checkEnding checks that an answer belongs to the text that was sent: the engines'
// stand-ins end each answer with the prompt's last words.
func checkEnding(answer, text string) error {
	words := strings.Fields(text)
	ending := strings.Join(words[len(words)-min(len(words), endingWords):], " ")
	if !strings.HasSuffix(answer, ending) {
		return merry.Errorf("the answer does not end with the last words of the request's text, %q", ending)
	}
	return nil
}

// endingWords is the number of a text's last words with which its answer must end.
const endingWords = 8

// crowd sends every text of every workspace at the same time, each with a unique marker
// at its end, and checks that each answer ends with its own marker.
func (s *demo) crowd(ctx context.Context) error {
	start := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	count := 0
	for _, workspace := range s.workspaceNames() {
		for kind, text := range s.example.Texts() {
			instance := count % len(s.instances)
			markedText := fmt.Sprintf("%s\nref %s/%s/%d", text, workspace, kind, count)
			count++
			group.Go(func() error { return s.sendMarked(ctx, instance, workspace, kind, markedText) })
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	s.transcript.printLine("%d requests of %d workspaces at the same time: all done, each answer belongs to its own text, %s; limits delayed %d of them",
		count, len(s.contracts), formatMillis(time.Since(start)), s.rateLimitedRequests.Load())
	return nil
}

// sendMarked sends one text with a marker and checks the answer.
func (s *demo) sendMarked(ctx context.Context, instance int, workspace, kind, markedText string) error {
	request, err := s.newRequest(workspace, kind, markedText)
	if err != nil {
		return err
	}
	answer, duration, err := s.send(ctx, instance, workspace, request)
	if err != nil {
		return merry.Prepend(err, kind)
	}
	if err := s.checkAnswer(answer, workspace, kind, duration); err != nil {
		return err
	}
	return checkEnding(answer.Text(), markedText)
}

// stream streams one answer and compares it with the answer to the same request without
// streaming.
func (s *demo) stream(ctx context.Context) error {
	workspace, kind := s.scenario.workspace, s.scenario.streamedKind
	text := s.example.Texts()[kind]
	request, err := s.newRequest(workspace, kind, text)
	if err != nil {
		return err
	}
	start := time.Now()
	var firstTokenDelay time.Duration
	var streamedText strings.Builder
	tokenCount := 0
	answer, err := s.callerClient(1, workspace).Stream(ctx, request, func(token client.Token) error {
		if tokenCount == 0 {
			firstTokenDelay = time.Since(start)
		}
		tokenCount++
		streamedText.WriteString(token.Text)
		return nil
	})
	if err != nil {
		return err
	}
	duration := time.Since(start)
	if err := s.checkAnswer(answer, workspace, kind, duration); err != nil {
		return err
	}
	if answer.TotalTokens != tokenCount {
		return merry.Errorf("the final event states %d tokens, %d were received", answer.TotalTokens, tokenCount)
	}
	wholeAnswer, _, err := s.send(ctx, 1, workspace, request)
	if err != nil {
		return err
	}
	if wholeAnswer.Text() != streamedText.String() {
		return merry.New("the streamed answer differs from the answer without streaming")
	}
	s.transcript.printLine("%-9s of %-10s at %-12s done %7s: first token after %s, %d tokens, and a final event that states %d",
		kind, workspace, s.datacentre(1), formatMillis(duration), formatMillis(firstTokenDelay), tokenCount, answer.TotalTokens)
	return nil
}
