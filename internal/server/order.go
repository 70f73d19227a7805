package server

import "oriolemill.example/oriolemill/pkg/parser"

// RunsAtMostOnce reports whether requests of a kind must run at most once. That holds for
// requests with side effects, and for operations of plain services that the
// deployment does not declare repeatable, even if the contract declares no effects.
func RunsAtMostOnce(deployment *parser.Deployment, kind *parser.Kind) bool {
	if kind.HasSideEffects() {
		return true
	}
	if kind.Service() == "" || deployment == nil {
		return false
	}
	service := deployment.Service(kind.Service())
	if service == nil {
		return true
	}
	operation, ok := service.Operation(kind.Operation())
	return !ok || !operation.IsRepeatable()
}
