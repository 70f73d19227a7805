package server

import "oriolemill.example/oriolemill/pkg/parser"

// Ordered reports whether requests of a kind must run at most once. That holds for
// requests with side effects, and for operations that the deployment does not
// declare repeatable, even if the contract declares no effects.
func Ordered(deployment *parser.Deployment, terms *parser.Kind) bool {
	if terms.Effects() {
		return true
	}
	if terms.Service() == "" || deployment == nil {
		return false
	}
	service := deployment.Service(terms.Service())
	if service == nil {
		return true
	}
	operation, ok := service.Operation(terms.Operation())
	return !ok || !operation.Repeat()
}
