// Package editor serves the part of the operator interface for documents, changes,
// the audit trail and orders.
package editor

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/configurer"
	"oriolemill.example/oriolemill/internal/server/operator"
	"oriolemill.example/oriolemill/pkg/client"
)

// maxRecords is the maximum number of audit records in one response.
const maxRecords = 500

// Dependencies are the dependencies of an Editor; none may be nil.
type Dependencies struct {
	// ID is the name of the instance.
	ID string
	// Configurer reads and writes documents.
	Configurer *configurer.Configurer
	// Follower has the active documents of the instance.
	Follower *configurer.Follower
	// Orders lists and resolves orders.
	Orders Orders
	// Snapshot returns the current snapshot, which lists the other instances.
	Snapshot func() *server.Snapshot
}

// Editor handles the requests of operators for documents and orders.
type Editor struct {
	dependencies Dependencies
}

// New returns an Editor.
func New(parts Dependencies) *Editor { return &Editor{dependencies: parts} }

// Routes returns the routes to add to the operator interface.
func (e *Editor) Routes() []operator.Route {
	get, post := http.MethodGet, http.MethodPost
	return []operator.Route{
		{Method: get, Path: "/v1/documents", Access: operator.AccessRead, Serve: e.handler(e.listDocuments)},
		{Method: get, Path: "/v1/documents/*name", Access: operator.AccessRead, Serve: e.handler(e.showDocument)},
		{Method: post, Path: "/v1/documents/*name", Access: operator.AccessWrite, Serve: e.handler(e.applyChange)},
		{Method: post, Path: "/v1/differences/*name", Access: operator.AccessRead, Serve: e.handler(e.diffDocument)},
		{Method: get, Path: "/v1/changes/:id", Access: operator.AccessRead, Serve: e.handler(e.showChangeOutcome)},
		{Method: post, Path: "/v1/changes/:id", Access: operator.AccessWrite, Serve: e.handler(e.resolveChange)},
		{Method: get, Path: "/v1/audit", Access: operator.AccessRead, Serve: e.handler(e.listRecords)},
		{Method: get, Path: "/v1/versions", Access: operator.AccessRead, Serve: e.handler(e.showVersions)},
		{Method: post, Path: "/v1/restore", Access: operator.AccessWrite, Serve: e.handler(e.restore)},
		{Method: get, Path: "/v1/orders", Access: operator.AccessRead, Serve: e.handler(e.listOrders)},
		{Method: post, Path: "/v1/orders/resolve", Access: operator.AccessWrite, Serve: e.handler(e.resolveOrder)},
		{Method: get, Path: "/v1/orders/history", Access: operator.AccessRead, Serve: e.handler(e.listOrderChanges)},
	}
}

// handler returns an HTTP handler that sends the result of handle as JSON, or a
// problem document for its error.
func (e *Editor) handler(handle func(ctx context.Context, c *app.RequestContext) (any, error)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		response, err := handle(ctx, c)
		if err != nil {
			writeProblem(c, err)
			return
		}
		c.JSON(http.StatusOK, response)
	}
}

// checkReadable returns ErrUnavailable while it is not known yet which
// operators the configuration names, since documents must not be shown to
// others.
func (e *Editor) checkReadable() error {
	status := e.dependencies.Follower.Status()
	if status.Revision.Version > 0 || (status.AllSourcesReported && status.NewestKnown == 0) {
		return nil
	}
	return server.NewFault("documents", "", merry.Prepend(server.ErrUnavailable, status.Reason))
}

func (e *Editor) listDocuments(ctx context.Context, _ *app.RequestContext) (any, error) {
	if err := e.checkReadable(); err != nil {
		return nil, err
	}
	_, documents, err := e.dependencies.Configurer.Load(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]client.Document, 0, len(documents))
	for _, document := range documents {
		list = append(list, client.Document{Name: document.Name, Version: document.Version})
	}
	return list, nil
}

func documentName(c *app.RequestContext) string { return strings.TrimPrefix(c.Param("name"), "/") }

func (e *Editor) showDocument(ctx context.Context, c *app.RequestContext) (any, error) {
	if err := e.checkReadable(); err != nil {
		return nil, err
	}
	document, err := e.dependencies.Configurer.Document(ctx, documentName(c))
	return client.Document{Name: document.Name, Version: document.Version, Text: document.Text}, err
}

// parseChange builds a change from the path, the body and the operator of a
// request. Its ID is that of the body, or a new one.
func (e *Editor) parseChange(c *app.RequestContext) (configurer.Change, error) {
	var message client.DocumentChange
	if err := c.BindJSON(&message); err != nil {
		return configurer.Change{}, merry.Prepend(server.ErrInvalid, err.Error())
	}
	change := configurer.Change{
		ID: server.NewID(), Name: documentName(c), Base: message.Base, Text: message.Text,
		Operator: operator.NameOf(c), Instance: e.dependencies.ID, Reason: strings.TrimSpace(message.Reason),
	}
	if message.ID != "" {
		id, err := server.ParseID(message.ID)
		if err != nil {
			return change, merry.Prepend(server.ErrInvalid, err.Error())
		}
		change.ID = id
	}
	return change, nil
}

// errNoReason means that a change has no reason for the audit trail.
var errNoReason = merry.Prepend(server.ErrInvalid, "reason: is empty; allowed: why the change is made, for the audit trail")

func (e *Editor) applyChange(ctx context.Context, c *app.RequestContext) (any, error) {
	change, err := e.parseChange(c)
	if err != nil {
		return nil, err
	}
	if change.Reason == "" {
		return nil, errNoReason
	}
	version, err := e.dependencies.Configurer.Apply(ctx, change)
	if err != nil {
		return nil, err
	}
	e.dependencies.Follower.Refresh()
	return client.ChangeOutcome{ID: change.ID.String(), State: string(configurer.StateAccepted), Version: version, Name: change.Name}, nil
}

func (e *Editor) restore(ctx context.Context, c *app.RequestContext) (any, error) {
	change, err := e.parseChange(c)
	if err != nil {
		return nil, err
	}
	if change.Reason == "" {
		return nil, errNoReason
	}
	bundle, err := e.dependencies.Follower.ActiveBundle(ctx)
	if err != nil {
		return nil, err
	}
	version, err := e.dependencies.Configurer.Restore(ctx, bundle, change)
	if err != nil {
		return nil, err
	}
	e.dependencies.Follower.Refresh()
	return client.ChangeOutcome{ID: change.ID.String(), State: string(configurer.StateAccepted), Version: version, Name: configurer.ConfigName}, nil
}

func (e *Editor) diffDocument(ctx context.Context, c *app.RequestContext) (any, error) {
	if err := e.checkReadable(); err != nil {
		return nil, err
	}
	change, err := e.parseChange(c)
	if err != nil {
		return nil, err
	}
	document, err := e.dependencies.Configurer.Document(ctx, change.Name)
	if err != nil && !errors.Is(err, server.ErrNotFound) {
		return nil, err
	}
	difference, err := e.dependencies.Configurer.Diff(ctx, change.Name, document.Text, change.Text)
	return client.Difference(difference), err
}

func (e *Editor) showChangeOutcome(ctx context.Context, c *app.RequestContext) (any, error) {
	return e.serveOutcome(ctx, c, e.dependencies.Configurer.ChangeOutcome)
}

func (e *Editor) resolveChange(ctx context.Context, c *app.RequestContext) (any, error) {
	return e.serveOutcome(ctx, c, e.dependencies.Configurer.ResolveChange)
}

// serveOutcome returns the outcome of the change whose ID is in the path, as
// outcomeOf reads or resolves it.
func (e *Editor) serveOutcome(ctx context.Context, c *app.RequestContext, outcomeOf func(context.Context, server.ID) (configurer.ChangeOutcome, error)) (any, error) {
	if err := e.checkReadable(); err != nil {
		return nil, err
	}
	id, err := server.ParseID(c.Param("id"))
	if err != nil {
		return nil, merry.Prepend(server.ErrInvalid, err.Error())
	}
	outcome, err := outcomeOf(ctx, id)
	return client.ChangeOutcome{ID: outcome.ID, State: string(outcome.State), Version: outcome.Version, Name: outcome.Name}, err
}

func (e *Editor) listRecords(ctx context.Context, c *app.RequestContext) (any, error) {
	if err := e.checkReadable(); err != nil {
		return nil, err
	}
	after, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		return nil, merry.Prepend(server.ErrInvalid, "after: not a version number")
	}
	limit, err := strconv.Atoi(c.DefaultQuery("limit", strconv.Itoa(maxRecords)))
	if err != nil || limit < 1 || limit > maxRecords {
		return nil, merry.Prependf(server.ErrInvalid, "limit: allowed: 1 to %d", maxRecords)
	}
	records, err := e.dependencies.Configurer.AuditRecords(ctx, after, limit)
	if err != nil {
		return nil, err
	}
	response := make([]client.AuditRecord, 0, len(records))
	for i := range records {
		response = append(response, toClientRecord(&records[i]))
	}
	return response, nil
}

// toClientRecord converts an audit record to its form in the operator interface.
func toClientRecord(r *configurer.AuditRecord) client.AuditRecord {
	return client.AuditRecord{
		ID: r.ID, Version: r.Version, RecordedAt: r.RecordedAt, Operator: r.Operator, Instance: r.Instance, Reason: r.Reason,
		Name: r.Name, Base: r.Base, Before: r.Before, After: r.After, IsRestored: r.IsRestored,
	}
}

func (e *Editor) showVersions(_ context.Context, _ *app.RequestContext) (any, error) {
	status := e.dependencies.Follower.Status()
	versions := client.VersionStatus{
		Instance: e.dependencies.ID, Version: status.Revision.Version, NewestKnown: status.NewestKnown,
		TableState: string(status.TableState), Reason: status.Reason, Members: []client.Member{},
	}
	for _, member := range e.dependencies.Snapshot().Members() {
		versions.Members = append(versions.Members, client.Member{
			ID: member.Listing.ID, Datacentre: member.Listing.Datacentre, Address: member.Listing.Address,
			Presence: string(member.Listing.Presence), IsReachable: member.IsReachable, Version: member.Version,
		})
	}
	return versions, nil
}
