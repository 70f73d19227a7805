package configurer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/pkg/parser"
)

// Retries of a change whose commit failed because other documents were changed
// meanwhile.
const (
	// The delay before a retry is random, up to a limit that is initialRetryDelay
	// at first and doubles with each retry up to maxRetryDelay.
	initialRetryDelay = 5 * time.Millisecond
	maxRetryDelay     = 200 * time.Millisecond
	// maxAttempts is the maximum number of attempts for one change.
	maxAttempts = 200
)

// plannedChange is a change together with the rows that were read for it, ready
// to be committed.
type plannedChange struct {
	change         Change
	headRowVersion uint64
	head           Head
	// documentRowVersion is the version of the document's row in the table.
	documentRowVersion uint64
	// stored is the document in the table, document the new one.
	stored   server.Document
	document server.Document
	// keyWrites assign and delete API keys.
	keyWrites []server.Write
}

// Apply commits a change in one transaction and returns the new head version.
// If only other documents were changed meanwhile, it retries. A change ID that was
// accepted before returns the version of that change.
//
// Errors: *InvalidError; *ConflictError if the document was changed since the
// base of the edit; ErrUnavailable if nothing was written and nothing will be;
// *OutcomeUnknownError if the outcome is not known yet; ErrBehind and other errors of the
// Precondition.
func (c *Configurer) Apply(ctx context.Context, change Change) (uint64, error) {
	contract, deployment, err := parseDocument(server.Document{Name: change.Name, Text: change.Text})
	if err != nil {
		return 0, err
	}
	delayLimit := initialRetryDelay
	for range maxAttempts {
		if outcome, err := c.ChangeOutcome(ctx, change.ID); err != nil || outcome.State != StateUnknown {
			return outcome.acceptedVersion(err)
		}
		plan, err := c.planChange(ctx, change)
		if err != nil {
			return 0, err
		}
		if err := c.validate(ctx, plan, contract, deployment); err != nil {
			return 0, err
		}
		version, err := c.commit(ctx, plan)
		if !errors.Is(err, server.ErrConflict) {
			return version, err
		}
		if sleep(ctx, rand.N(delayLimit)) != nil {
			break
		}
		delayLimit = min(2*delayLimit, maxRetryDelay)
	}
	return 0, server.NewFault("apply", change.Name, merry.Prepend(server.ErrUnavailable, "other changes were committed first in every attempt"))
}

// planChange reads the rows that a change depends on. It reads the head first, so
// that all other rows are at least as new as the head.
func (c *Configurer) planChange(ctx context.Context, change Change) (*plannedChange, error) {
	p := &plannedChange{change: change}
	var err error
	if p.headRowVersion, p.head, err = c.readHead(ctx); err != nil {
		return nil, err
	}
	if err := c.precondition(p.head); err != nil {
		return nil, err
	}
	if p.documentRowVersion, p.stored, err = c.readDocument(ctx, change.Name); err != nil {
		return nil, err
	}
	if p.stored.Version != change.Base {
		return nil, c.newConflict(ctx, change, p.stored)
	}
	p.document = server.Document{Name: change.Name, Version: p.head.Version + 1, Text: change.Text}
	return p, nil
}

// validate checks a planned document against the other documents in the table.
// For a contract, it also computes the checked form and plans the writes of API
// keys.
func (c *Configurer) validate(ctx context.Context, p *plannedChange, contract *parser.Contract, deployment *parser.Deployment) error {
	if contract == nil {
		if err := CheckOperatorsRemain(p.stored, deployment); err != nil {
			return err
		}
		return c.checkContracts(ctx, deployment)
	}
	rowVersion, config, err := c.readDocument(ctx, ConfigName)
	if err != nil {
		return err
	}
	if rowVersion == 0 {
		return wrapInvalid(merry.Errorf("%s: there is no configuration yet; apply it first", p.change.Name))
	}
	if deployment, err = parser.ParseDeployment(ConfigName, []byte(config.Text)); err != nil {
		return wrapInvalid(err)
	}
	if err := parser.CrossCheck(contract, deployment); err != nil {
		return wrapInvalid(err)
	}
	if p.document.CheckedForm, err = parser.EncodeCheckedForm(contract, []byte(p.change.Text)); err != nil {
		return wrapInvalid(err)
	}
	return c.planKeyWrites(ctx, p, contract)
}

// CheckOperatorsRemain returns an error if a configuration removes all
// operators, which would open the operator interface to everyone.
func CheckOperatorsRemain(stored server.Document, deployment *parser.Deployment) error {
	storedDeployment, err := parser.ParseDeployment(ConfigName, []byte(stored.Text))
	if err != nil || len(storedDeployment.Operators()) == 0 || len(deployment.Operators()) > 0 {
		return nil
	}
	return wrapInvalid(merry.Errorf("%s: operators: the list is empty; allowed: at least one with the role write, since the current configuration has operators", ConfigName))
}

// checkContracts checks all stored contracts against a new configuration.
func (c *Configurer) checkContracts(ctx context.Context, deployment *parser.Deployment) error {
	documents, err := c.scanDocuments(ctx)
	if err != nil {
		return err
	}
	for _, document := range documents {
		if _, isContract := ContractWorkspace(document.Name); !isContract {
			continue
		}
		contract, err := parseContract(document)
		if err != nil {
			return wrapInvalid(err)
		}
		if err := parser.CrossCheck(contract, deployment); err != nil {
			return wrapInvalid(err)
		}
	}
	return nil
}

// planKeyWrites plans the writes that assign new API keys to the workspace and
// delete the keys that its contract no longer lists.
func (c *Configurer) planKeyWrites(ctx context.Context, p *plannedChange, contract *parser.Contract) error {
	var storedKeys []string
	if storedContract, err := parseContract(p.stored); err == nil {
		storedKeys = storedContract.KeyHashes()
	}
	for _, key := range contract.KeyHashes() {
		rowVersion, holder, err := c.readKeyHolder(ctx, key)
		if err != nil {
			return err
		}
		if rowVersion > 0 && holder.Workspace != contract.Workspace() {
			return wrapInvalid(parser.DuplicateKeyError(contract, key, holder.Workspace))
		}
		if rowVersion == 0 {
			p.keyWrites = append(p.keyWrites, server.Write{Key: keyRow(key), Value: encode(keyHolder{Workspace: contract.Workspace()})})
		}
	}
	for _, key := range storedKeys {
		if slices.Contains(contract.KeyHashes(), key) {
			continue
		}
		rowVersion, holder, err := c.readKeyHolder(ctx, key)
		if err != nil {
			return err
		}
		if rowVersion > 0 && holder.Workspace == contract.Workspace() {
			p.keyWrites = append(p.keyWrites, server.Write{Key: keyRow(key), ExpectedVersion: rowVersion, Delete: true})
		}
	}
	return nil
}

func keyRow(key string) server.Key { return server.Key{Table: tableKeys, Row: key} }

func (c *Configurer) readKeyHolder(ctx context.Context, key string) (uint64, keyHolder, error) {
	var holder keyHolder
	rowVersion, err := readRow(ctx, c.table, keyRow(key), &holder)
	return rowVersion, holder, err
}

// commit writes a planned change and returns its version. ErrConflict means that
// nothing was written and that the change may be planned and committed again.
func (c *Configurer) commit(ctx context.Context, p *plannedChange) (uint64, error) {
	version := p.document.Version
	record := AuditRecord{
		ID: p.change.ID.String(), Version: version, RecordedAt: c.now(), Operator: p.change.Operator, Instance: p.change.Instance,
		Reason: p.change.Reason, Name: p.change.Name, Base: p.stored.Version, Before: p.stored.Text, After: p.change.Text,
	}
	record.setChainHash(p.head.ChainHash)
	outcome := ChangeOutcome{ID: record.ID, State: StateAccepted, Version: version, Name: record.Name}
	writes := append([]server.Write{
		{Key: headKey(), ExpectedVersion: p.headRowVersion, Value: encode(Head{Revision: record.revision(), RestoreVersion: p.head.RestoreVersion})},
		{Key: server.Key{Table: tableDocuments, Row: p.change.Name}, ExpectedVersion: p.documentRowVersion, Value: encode(p.document)},
		{Key: server.Key{Table: tableAudit, Row: AuditRow(version)}, Value: encode(record)},
		{Key: changeRow(p.change.ID), Value: encode(outcome)},
	}, p.keyWrites...)
	_, err := c.table.Commit(ctx, writes)
	switch {
	case err == nil:
		return version, nil
	case errors.Is(err, server.ErrUncertain):
		return c.resolveUncertain(ctx, p.change.ID)
	default:
		return 0, err
	}
}

func headKey() server.Key { return server.Key{Table: tableHead, Row: headRow} }

// sleep waits for a delay. It returns the context's error if ctx ends first.
func sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
