package demonstrator

import "github.com/ansel1/merry/v2"

// scenario names what is shown of a deployment, beyond its documents.
type scenario struct {
	// workspace is who streams, orders and gets an amended contract.
	workspace string
	// streamedKind is the kind whose answer is streamed and whose terms are amended.
	streamedKind string
	// drainedKind is the kind that is streamed while its instance stops.
	drainedKind string
	// orderKind is the kind with a side effect, and order its input.
	orderKind  string
	orderInput any
	// queryKind is a kind of a plain service without side effects, and question its input.
	queryKind  string
	queryInput any
}

// dosingOrder is the input of a dosing order.
type dosingOrder struct {
	Slaker int    `json:"slaker"`
	Lime   int    `json:"lime_kg"`
	Reason string `json:"reason"`
}

// trendQuery is the input of a question to a trend board.
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

// scenarioOf returns the scene of an example.
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
		return scenario{}, merry.Errorf("no scene for %q", example)
	}
}
