package planner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
)

// plansTable is the table with one row for each engine service.
const plansTable = "plans"

// maxServices bounds the number of rows that one scan of the table reads.
const maxServices = 1000

// planRow is the content of a service's row: the retirement list that every
// instance applies.
type planRow struct {
	// Fence is the fencing number of the lease holder that wrote the row.
	Fence uint64 `json:"fence"`
	// Retiring are the models that get no new requests, each at one replica.
	Retiring []Retirement `json:"retiring"`
}

// rowKey returns the key of a service's row.
func rowKey(service string) server.Key {
	return server.Key{Table: plansTable, Row: service}
}

// refreshLists reads the retirement lists of all services and applies them, unless
// a read is in progress or the last one began less than interval ago.
func (p *Planner) refreshLists(now time.Time, interval time.Duration) {
	if p.isReading || now.Sub(p.lastReadAt) < interval {
		return
	}
	p.isReading = true
	p.lastReadAt = now
	p.dependencies.Control.Go(func(ctx context.Context) controller.Event {
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		rows, err := p.dependencies.Table.Scan(ctx, plansTable, "", maxServices)
		return controller.EventFunc(func() {
			p.isReading = false
			if err == nil {
				p.applyRows(rows)
			}
		})
	})
}

// applyRows applies the lists of all services; a service without a row has an empty
// list. Rows that cannot be decoded, and those being written, are skipped.
func (p *Planner) applyRows(rows []server.Row) {
	byName := make(map[string]server.Row, len(rows))
	for _, row := range rows {
		byName[row.Row] = row
	}
	for name, s := range p.services {
		var content planRow
		row, ok := byName[name]
		if s.isCommitting || (ok && json.Unmarshal(row.Value, &content) != nil) {
			continue
		}
		p.applyList(s, row.Version, content)
	}
}

// applyList applies a list unless a newer one is already active.
func (p *Planner) applyList(s *serviceState, listVersion uint64, content planRow) {
	if listVersion < s.listVersion {
		return
	}
	s.listVersion = listVersion
	s.isListKnown = true
	s.retirements = content.Retiring
	p.publishRetirements(s)
}

// publishRetirements publishes the models that get no new requests, by replica.
func (p *Planner) publishRetirements(s *serviceState) {
	models := make(map[string][]string)
	for _, retirement := range s.retirements {
		models[retirement.Replica] = append(models[retirement.Replica], retirement.Model)
	}
	p.dependencies.PublishRetirements(s.name, models)
}

// commitPlan writes a new list on the condition that the row still has the version
// that the plan was made from. The list is applied here, and the plan's instructions
// are sent, only after the write has succeeded. After a failure the list is read again
// before the next plan.
func (p *Planner) commitPlan(s *serviceState, out Output, snapshot *server.Snapshot, now time.Time) {
	value, err := json.Marshal(planRow{Fence: p.fence, Retiring: out.Retirements})
	if err != nil {
		return
	}
	s.isCommitting = true
	write := server.Write{Key: rowKey(s.name), ExpectedVersion: s.listVersion, Value: value}
	p.dependencies.Control.Go(func(ctx context.Context) controller.Event {
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		versions, err := p.dependencies.Table.Commit(ctx, []server.Write{write})
		return controller.EventFunc(func() {
			s.isCommitting = false
			if err != nil {
				s.isListKnown = false
				return
			}
			p.applyList(s, versions[0], planRow{Retiring: out.Retirements})
			p.issueInstructions(s, out.Instructions, snapshot, now)
		})
	})
}

// sameRetirements reports whether two lists have the same entries in the same order.
func sameRetirements(a, b []Retirement) bool { return slices.Equal(a, b) }

// isRejected reports whether an instruction is known to have had no effect.
func isRejected(err error) bool {
	return errors.Is(err, server.ErrConflict) || errors.Is(err, server.ErrForbidden) ||
		errors.Is(err, server.ErrDeadline) || errors.Is(err, server.ErrOverload)
}
