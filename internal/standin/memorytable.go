package standin

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// CallFault is the fault injected into one call of the table.
type CallFault uint8

// Faults that the hook of a MemoryTable returns.
const (
	// CallFaultNone injects no fault.
	CallFaultNone CallFault = iota
	// CallFaultUnavailable fails the call before it takes effect, with ErrUnavailable.
	CallFaultUnavailable
	// CallFaultResponseLost lets the call take effect and drops the response. A write fails
	// with ErrUncertain, a read with ErrUnavailable.
	CallFaultResponseLost
)

// MemoryTable is a client of a Table in the same process that uses no network, so that
// tests can run it under virtual time. It implements server.Table and is safe for
// concurrent use.
type MemoryTable struct {
	platform *Platform
	mu       sync.Mutex
	hook     func(ctx context.Context, call string, writes []server.Write) CallFault
}

// NewMemoryTable returns a client of the table that injects no faults.
func NewMemoryTable(platform *Platform) *MemoryTable { return &MemoryTable{platform: platform} }

// SetHook sets a function that is called before each call ("get", "scan" or "commit")
// and returns the fault to inject. It may wait in order to delay the call. Nil
// removes the hook.
func (m *MemoryTable) SetHook(hook func(ctx context.Context, call string, writes []server.Write) CallFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hook = hook
}

// runHook calls the hook and returns its fault. The error is not nil if the call must
// fail before it takes effect: by the fault, or since ctx has ended.
func (m *MemoryTable) runHook(ctx context.Context, call string, writes []server.Write) (CallFault, error) {
	m.mu.Lock()
	hook := m.hook
	m.mu.Unlock()
	fault := CallFaultNone
	if hook != nil {
		fault = hook(ctx, call, writes)
	}
	if ctx.Err() != nil {
		return fault, server.NewFault(call, "table", merry.Prepend(server.ErrUncertain, ctx.Err().Error()))
	}
	if fault == CallFaultUnavailable {
		return fault, server.NewFault(call, "table", server.ErrUnavailable)
	}
	return fault, nil
}

// Get implements server.Table.
func (m *MemoryTable) Get(ctx context.Context, key server.Key) (server.Row, error) {
	fault, err := m.runHook(ctx, "get", nil)
	if err != nil {
		return server.Row{}, err
	}
	if fault == CallFaultResponseLost {
		return server.Row{}, server.NewFault("get", "table", server.ErrUnavailable)
	}
	row, ok := m.platform.Row(key)
	if !ok {
		return server.Row{}, server.NewFault("get", "table", server.ErrNotFound)
	}
	return row, nil
}

// Scan implements server.Table.
func (m *MemoryTable) Scan(ctx context.Context, table, after string, limit int) ([]server.Row, error) {
	fault, err := m.runHook(ctx, "scan", nil)
	if err != nil {
		return nil, err
	}
	if fault == CallFaultResponseLost {
		return nil, server.NewFault("scan", "table", server.ErrUnavailable)
	}
	return m.platform.Rows(table, after, limit), nil
}

// Commit implements server.Table.
func (m *MemoryTable) Commit(ctx context.Context, writes []server.Write) ([]uint64, error) {
	fault, err := m.runHook(ctx, "commit", writes)
	if err != nil {
		return nil, err
	}
	versions, conflict := m.platform.Commit(writes)
	if fault == CallFaultResponseLost {
		return nil, server.NewFault("commit", "table", server.ErrUncertain)
	}
	if conflict != nil {
		return nil, server.NewFault("commit", "table", merry.Prepend(server.ErrConflict, conflict.Table+"/"+conflict.Row))
	}
	return versions, nil
}
