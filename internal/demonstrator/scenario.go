package demonstrator

import "github.com/ansel1/merry/v2"

// scenario names the workspace, the kinds and the inputs that the steps use in an
// example deployment, in addition to its documents.
type scenario struct {
	// workspace sends the order and the streamed requests, and its contract is amended.
	workspace string
	// streamedKind is the kind whose answer is streamed and whose limit of tokens is
	// lowered.
	streamedKind string
	// drainedKind is the kind whose answer is streamed while its instance stops.
	drainedKind string
	// orderKind is a kind with a side effect, and orderInput its input.
	orderKind  string
	orderInput any
	// queryKind is a kind of a plain service without side effects, and queryInput its
	// input.
	queryKind  string
	queryInput any
}

// dosingOrder is the input of a dosing order.
type dosingOrder struct {
	Slaker int    `json:"slaker"`
	Lime   int    `json:"lime_kg"`
	Reason string `json:"reason"`
}

// trendQuery is the input of a query of a plant's trend data.
type trendQuery struct {
	Tag   string `json:"tag"`
	Hours int    `json:"hours"`
}

// filingOrder is the input of a filing to a ministry.
type filingOrder struct {
	Ministry  string `json:"ministry"`
	Reference string `json:"reference"`
	Letter    string `json:"letter"`
}

// archiveSearch is the input of a search in the archive of replies.
type archiveSearch struct {
	Words string `json:"words"`
}

// scenarioOf returns the scenario of an example; texts are the example's inputs by kind.
func scenarioOf(example string, texts map[string]string) (scenario, error) {
	switch example {
	case "lutvik":
		return scenario{
			workspace: "skoghammar", streamedKind: "upset", drainedKind: "handover",
			orderKind: "dosing", orderInput: dosingOrder{Slaker: 1, Lime: 120, Reason: "causticising degree 79.6 %"},
			queryKind: "kiln", queryInput: trendQuery{Tag: "kiln-1 hot end temperature", Hours: 8},
		}, nil
	case "uwazi":
		return scenario{
			workspace: "habari", streamedKind: "appeal", drainedKind: "request",
			orderKind: "filing", orderInput: filingOrder{Ministry: "Wizara ya Maji", Reference: "MW/RTI/2291", Letter: texts["appeal"]},
			queryKind: "archive", queryInput: archiveSearch{Words: "borehole contracts Temeke"},
		}, nil
	default:
		return scenario{}, merry.Errorf("no scenario for the example %q", example)
	}
}
