package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"regexp"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/standin"
	"oriolemill.example/oriolemill/pkg/client"
	"oriolemill.example/oriolemill/pkg/parser"
)

const (
	// amendedTokens is the amended contract's limit of tokens.
	amendedTokens = 12
	// maxActivationTime bounds the time until a change is in force on all instances.
	maxActivationTime = 3 * time.Second
	// drainSlowFactor is the factor by which engines are slowed while an instance stops.
	drainSlowFactor = 6
	// drainAfterTokens is the number of streamed tokens after which the stop begins.
	drainAfterTokens = 5
)

// order sends the same order to two instances and checks that it ran once and that both
// answers are the same.
func (s *demo) order(ctx context.Context) error {
	workspace, kind := s.scenario.workspace, s.scenario.orderKind
	request, err := s.newRequest(workspace, kind, s.scenario.orderInput)
	if err != nil {
		return err
	}
	request.IdempotencyKey = "demo-" + server.NewID().String()
	var answers []*client.Answer
	for instance := range 2 {
		start := time.Now()
		answer, err := s.callerClient(instance, workspace).Call(ctx, request)
		if err != nil {
			return merry.Prepend(err, kind)
		}
		if answer.Outcome != client.OutcomeDone {
			return merry.Errorf("%s: outcome %s, want done", kind, answer.Outcome)
		}
		answers = append(answers, answer)
		s.transcript.printLine("%-9s of %-10s at %-12s %s %7s: %s", kind, workspace, s.datacentre(instance),
			answer.Outcome, formatMillis(time.Since(start)), answer.Text())
	}
	if !bytes.Equal(answers[0].Output, answers[1].Output) {
		return merry.New("the second answer to the repeated order differs from the first")
	}
	if runs := s.environment.Ledger(request.Service).Runs(workspace, request.IdempotencyKey); runs != 1 {
		return merry.Errorf("%s recorded %d runs with one key, want 1", request.Service, runs)
	}
	s.transcript.printLine("%s recorded 1 run with the key; both answers are the same", request.Service)
	return nil
}

// amend lowers the limit of tokens of one kind, and checks that the change is in force
// on all instances within maxActivationTime and that they answer by it.
func (s *demo) amend(ctx context.Context) error {
	workspace, kind := s.scenario.workspace, s.scenario.streamedKind
	name := configurer.ContractName(workspace)
	pattern := regexp.MustCompile(`(?m)^(\s+` + kind + `: .*tokens: )\d+`)
	text := pattern.ReplaceAllString(s.example.Contracts()[workspace], fmt.Sprintf("${1}%d", amendedTokens))
	contract, err := parser.ParseContract(name, []byte(text))
	if err != nil {
		return err
	}
	base, err := s.documentVersion(ctx, name)
	if err != nil {
		return err
	}
	start := time.Now()
	version, err := s.applyDocument(ctx, name, text, "shorter answers", base)
	if err != nil {
		return err
	}
	if err := s.awaitVersion(ctx, version); err != nil {
		return err
	}
	duration := time.Since(start)
	if duration > maxActivationTime {
		return merry.Errorf("the change was in force on all instances after %s, want at most %s", duration, maxActivationTime)
	}
	s.contracts[workspace] = contract
	for instance := range s.instances {
		if err := s.checkAmended(ctx, instance); err != nil {
			return err
		}
	}
	s.transcript.printLine("%s: %s limited to %d tokens: version %d in force on all %d instances after %s, each answers with %d tokens",
		workspace, kind, amendedTokens, version, len(s.instances), formatMillis(duration), amendedTokens)
	return nil
}

// documentVersion returns the current version of a document in the table.
func (s *demo) documentVersion(ctx context.Context, name string) (uint64, error) {
	_, documents, err := s.documentStore.Load(ctx)
	if err != nil {
		return 0, err
	}
	for _, document := range documents {
		if document.Name == name {
			return document.Version, nil
		}
	}
	return 0, merry.Errorf("no document %s", name)
}

// checkAmended checks that an instance answers with as many tokens as the amended
// contract allows.
func (s *demo) checkAmended(ctx context.Context, instance int) error {
	workspace, kind := s.scenario.workspace, s.scenario.streamedKind
	request, err := s.newRequest(workspace, kind, s.example.Texts()[kind])
	if err != nil {
		return err
	}
	answer, _, err := s.send(ctx, instance, workspace, request)
	if err != nil {
		return err
	}
	if answer.TotalTokens != amendedTokens {
		return merry.Errorf("%s answers with %d tokens, want the amended contract's limit of %d", s.datacentre(instance), answer.TotalTokens, amendedTokens)
	}
	return nil
}

// drain stops one instance in the middle of a stream. It checks that the instance
// becomes unready before the stream ends, that the stream is complete, and that the
// other instances still answer.
func (s *demo) drain(ctx context.Context) error {
	last := len(s.instances) - 1
	s.slowEngines()
	workspace, kind := s.scenario.workspace, s.scenario.drainedKind
	request, err := s.newRequest(workspace, kind, s.example.Texts()[kind])
	if err != nil {
		return err
	}
	stopResult := make(chan error, 1)
	tokenCount, unreadyAt := 0, -1
	var streamedText strings.Builder
	answer, err := s.callerClient(last, workspace).Stream(ctx, request, func(token client.Token) error {
		tokenCount++
		streamedText.WriteString(token.Text)
		switch {
		case tokenCount == drainAfterTokens:
			s.stoppedInstances[last] = true
			go func() { stopResult <- s.instances[last].Stop(ctx) }()
		case tokenCount > drainAfterTokens && unreadyAt < 0 && !s.isReady(ctx, last):
			unreadyAt = tokenCount
		}
		return nil
	})
	if err != nil {
		return merry.Prepend(err, kind)
	}
	if err := <-stopResult; err != nil {
		return merry.Prepend(err, "stop the instance")
	}
	if unreadyAt < 0 {
		return merry.New("the instance was still ready when the stream ended, want not ready once its stop has begun")
	}
	if err := checkEnding(streamedText.String(), s.example.Texts()[kind]); err != nil {
		return err
	}
	s.transcript.printLine("%-9s of %-10s at %-12s stop after token %d, unready by token %d, stream complete with %d of %d tokens",
		kind, workspace, s.datacentre(last), drainAfterTokens, unreadyAt, tokenCount, answer.TotalTokens)
	return s.checkDrained(ctx, last)
}

// slowEngines slows the engines down, so that a stream lasts long enough to stop its
// instance in the middle.
func (s *demo) slowEngines() {
	for _, name := range s.deployment.ServiceNames() {
		if s.deployment.Service(name).Role() != parser.RoleEngine {
			continue
		}
		for _, id := range s.environment.Replicas(name) {
			s.environment.Upstream(id).Faults().Set(standin.Fault{SlowFactor: drainSlowFactor})
		}
	}
}

// isReady requests an instance's readiness and reports whether it accepts requests.
func (s *demo) isReady(ctx context.Context, instance int) bool {
	return s.operatorClient(instance).CheckReady(ctx) == nil
}

// checkDrained checks that the stopped instance accepts no connections and that the
// others answer.
func (s *demo) checkDrained(ctx context.Context, stoppedInstance int) error {
	connection, err := net.DialTimeout("tcp", s.instances[stoppedInstance].CallerAddress(), time.Second)
	if err == nil {
		_ = connection.Close()
		return merry.New("the stopped instance still accepts connections")
	}
	for instance := range s.instances {
		if instance == stoppedInstance {
			continue
		}
		if err := s.checkAmended(ctx, instance); err != nil {
			return err
		}
	}
	s.transcript.printLine("%s accepts no connections any more; the other %d instances answer", s.datacentre(stoppedInstance), len(s.instances)-1)
	return nil
}
