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
	// amendedTokens is what the amended contract allows.
	amendedTokens = 12
	// maxForceTime is how soon a change must be in force everywhere.
	maxForceTime = 3 * time.Second
	// drainSlowFactor is how much slower engines work during the stop of an instance.
	drainSlowFactor = 6
	// drainAfterTokens is the token after which the stop begins.
	drainAfterTokens = 5
)

// order sends one order twice, at two instances, and counts its runs.
func (s *demo) order(ctx context.Context) error {
	workspace, kind := s.scenario.workspace, s.scenario.orderKind
	request, err := s.newRequest(workspace, kind, s.scenario.orderInput)
	if err != nil {
		return err
	}
	request.Key = "demo-" + server.NewID().String()
	var answers []*client.Answer
	for instance := range 2 {
		begin := time.Now()
		answer, err := s.callerClient(instance, workspace).Call(ctx, request)
		if err != nil {
			return merry.Prepend(err, kind)
		}
		if answer.Outcome != client.OutcomeDone {
			return merry.Errorf("%s: outcome %s, want done", kind, answer.Outcome)
		}
		answers = append(answers, answer)
		s.transcript.printLine("%-9s of %-10s at %-12s %s %7s: %s", kind, workspace, s.datacentre(instance),
			answer.Outcome, formatMillis(time.Since(begin)), answer.Text())
	}
	if !bytes.Equal(answers[0].Output, answers[1].Output) {
		return merry.New("the second answer differs from the recorded one")
	}
	if runs := s.set.Ledger(request.Service).Runs(workspace, request.Key); runs != 1 {
		return merry.Errorf("%s counted %d runs of one key, want 1", request.Service, runs)
	}
	s.transcript.printLine("%s counted 1 run of the key; both answers are the same", request.Service)
	return nil
}

// amend lowers the tokens of one kind and shows the change in force.
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
	begin := time.Now()
	version, err := s.applyDocument(ctx, name, text, "shorter answers", base)
	if err != nil {
		return err
	}
	if err := s.awaitVersion(ctx, version); err != nil {
		return err
	}
	took := time.Since(begin)
	if took > maxForceTime {
		return merry.Errorf("in force everywhere after %s, want %s", took, maxForceTime)
	}
	s.contracts[workspace] = contract
	for instance := range s.instances {
		if err := s.checkAmended(ctx, instance); err != nil {
			return err
		}
	}
	s.transcript.printLine("%s: %s cut to %d tokens: version %d in force on all %d instances after %s, each answers with %d",
		workspace, kind, amendedTokens, version, len(s.instances), formatMillis(took), amendedTokens)
	return nil
}

// documentVersion returns the version at which a document last changed.
func (s *demo) documentVersion(ctx context.Context, name string) (uint64, error) {
	_, documents, err := s.documents.Load(ctx)
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

// checkAmended checks that one instance answers by the amended contract.
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
	if answer.Total != amendedTokens {
		return merry.Errorf("%s answers with %d tokens, the amended contract says %d", s.datacentre(instance), answer.Total, amendedTokens)
	}
	return nil
}

// drain stops one instance in the middle of a stream.
func (s *demo) drain(ctx context.Context) error {
	last := len(s.instances) - 1
	s.slowEngines()
	workspace, kind := s.scenario.workspace, s.scenario.drainedKind
	request, err := s.newRequest(workspace, kind, s.example.Texts()[kind])
	if err != nil {
		return err
	}
	stopped := make(chan error, 1)
	tokens, left := 0, -1
	var streamed strings.Builder
	end, err := s.callerClient(last, workspace).Stream(ctx, request, func(token client.Token) error {
		tokens++
		streamed.WriteString(token.Text)
		switch {
		case tokens == drainAfterTokens:
			s.stopped[last] = true
			go func() { stopped <- s.instances[last].Stop(ctx) }()
		case tokens > drainAfterTokens && left < 0 && !s.isReady(ctx, last):
			left = tokens
		}
		return nil
	})
	if err != nil {
		return merry.Prepend(err, kind)
	}
	if err := <-stopped; err != nil {
		return merry.Prepend(err, "stop")
	}
	if left < 0 {
		return merry.New("the instance stayed ready until the stream ended")
	}
	if err := checkEnding(streamed.String(), s.example.Texts()[kind]); err != nil {
		return err
	}
	s.transcript.printLine("%-9s of %-10s at %-12s stop after token %d, unready by token %d, stream whole with %d of %d tokens",
		kind, workspace, s.datacentre(last), drainAfterTokens, left, tokens, end.Total)
	return s.checkDrained(ctx, last)
}

// slowEngines makes streams last long enough to stop an instance within one.
func (s *demo) slowEngines() {
	for _, name := range s.deployment.Services() {
		if s.deployment.Service(name).Role() != parser.RoleEngine {
			continue
		}
		for _, id := range s.set.Replicas(name) {
			s.set.Upstream(id).Faults().Set(standin.Fault{Slow: drainSlowFactor})
		}
	}
}

// isReady asks an instance whether it takes new requests.
func (s *demo) isReady(ctx context.Context, instance int) bool {
	return s.operatorClient(instance).Ready(ctx) == nil
}

// checkDrained checks that the instance is gone and that the others serve.
func (s *demo) checkDrained(ctx context.Context, gone int) error {
	connection, err := net.DialTimeout("tcp", s.instances[gone].Address(), time.Second)
	if err == nil {
		_ = connection.Close()
		return merry.New("the stopped instance still takes connections")
	}
	for instance := range s.instances {
		if instance == gone {
			continue
		}
		if err := s.checkAmended(ctx, instance); err != nil {
			return err
		}
	}
	s.transcript.printLine("%s is gone; the other %d answer", s.datacentre(gone), len(s.instances)-1)
	return nil
}
