package measurer

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strings"
	"time"
)

const (
	// documentCount is the number of different documents that the retrievers return.
	documentCount    = 8
	wordsPerDocument = 350
	wordsPerQuestion = 50
	workspaceCount   = 8
)

// arrival is one request of the load.
type arrival struct {
	// sequence numbers the requests of a run from zero.
	sequence int
	// offset is the arrival time from the start of the run.
	offset    time.Duration
	workspace int
	kind      string
	// outputTokens is the number of tokens to generate; zero for orders.
	outputTokens int
	weight       float64
	// deadline is relative to the arrival.
	deadline       time.Duration
	input          string
	idempotencyKey string
}

// contractKind is one kind of the contract.
type contractKind struct {
	name string
	// fraction is the fraction of the requests that are of this kind.
	fraction     float64
	weight       float64
	outputTokens int
	deadline     time.Duration
}

// contractKinds returns the kinds of documents/contract.yaml. They are repeated here so
// that the results do not depend on the code that is measured.
func contractKinds() []contractKind {
	return []contractKind{
		{name: "alarm", fraction: 0.2, weight: 5, outputTokens: 24, deadline: 2 * time.Second},
		{name: "question", fraction: 0.45, weight: 2, outputTokens: 32, deadline: 3 * time.Second},
		{name: "summary", fraction: 0.3, weight: 1, outputTokens: 48, deadline: 8 * time.Second},
		{name: orderKind, fraction: 0.05, weight: 4, deadline: 2 * time.Second},
	}
}

// orderKind is the kind whose operation has side effects.
const orderKind = "file"

// newArrivals generates the requests of a scenario. The gaps between arrivals are
// exponentially distributed; equal seeds give equal requests.
func newArrivals(s *scenario, seed uint64, runDuration time.Duration) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var arrivals []arrival
	offset := time.Duration(0)
	for {
		rate := s.arrivalRate(offset, runDuration)
		offset += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if offset >= runDuration {
			return arrivals
		}
		arrivals = append(arrivals, newArrival(s, random, len(arrivals), offset))
	}
}

func newArrival(s *scenario, random *rand.Rand, sequence int, offset time.Duration) arrival {
	k := drawKind(random.Float64())
	workspace := random.IntN(workspaceCount)
	if s.isSkewed && random.Float64() < skewFraction {
		workspace = 0
	}
	document := random.IntN(documentCount)
	words := make([]string, 0, wordsPerQuestion)
	words = append(words, fmt.Sprintf("doc-%d", document))
	for i := range wordsPerQuestion - 2 {
		words = append(words, fmt.Sprintf("w%d-%d", i, random.IntN(1000)))
	}
	words = append(words, fmt.Sprintf("end-%d", sequence))
	return arrival{
		sequence: sequence, offset: offset, workspace: workspace, kind: k.name, outputTokens: k.outputTokens, weight: k.weight,
		deadline: k.deadline, input: strings.Join(words, " "), idempotencyKey: fmt.Sprintf("order-%d", sequence),
	}
}

// drawKind returns the kind for a random number x from 0 up to 1, in proportion to the
// kinds' fractions.
func drawKind(x float64) contractKind {
	kinds := contractKinds()
	for _, k := range kinds {
		if x < k.fraction {
			return k
		}
		x -= k.fraction
	}
	return kinds[0]
}

var documentPattern = regexp.MustCompile(`doc-\d+`)

// runPoolStage is the work of the stand-in pools: the encoder returns a short vector,
// the retriever the document that the input names, and the reranker the output of the
// stage before.
func runPoolStage(stage string, input json.RawMessage) json.RawMessage {
	var message struct {
		Previous json.RawMessage `json:"previous"`
	}
	switch stage {
	case "encode":
		return json.RawMessage(`[0.1,0.2,0.3]`)
	case "rerank":
		if json.Unmarshal(input, &message) != nil {
			return json.RawMessage(`null`)
		}
		return message.Previous
	default:
		return documentText(documentPattern.FindString(string(input)))
	}
}

// documentText returns the text of a document as a JSON string.
func documentText(name string) json.RawMessage {
	var b strings.Builder
	for i := range wordsPerDocument {
		fmt.Fprintf(&b, "%s-%d ", name, i)
	}
	// A string always marshals.
	text, _ := json.Marshal(b.String())
	return text
}
