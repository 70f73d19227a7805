package measurer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oriolemill.example/oriolemill/internal/standin"
)

// Report is the result of a measurement.
type Report struct {
	Seed uint64 `json:"seed"`
	// DurationSeconds is the time during which requests arrived.
	DurationSeconds float64 `json:"length_s"`
	// CapacityRequestRate is the requests a second that the engines can serve.
	CapacityRequestRate float64 `json:"capacity_requests_s"`
	// Rows has one row for each scenario and policy.
	Rows []*Row `json:"rows"`
}

// Row is the result of one scenario under one policy.
type Row struct {
	Scenario     string `json:"scenario"`
	Policy       Policy `json:"policy"`
	RequestCount int    `json:"requests"`
	// Attainment is the fraction of the requests, weighted by kind, that got a complete
	// and correct response before the deadline.
	Attainment float64 `json:"attainment"`
	// AttainmentLimit is the attainment of a scheduler that knows all arrivals in
	// advance; see referenceAttainment.
	AttainmentLimit       float64            `json:"limit"`
	AttainmentByKind      map[string]float64 `json:"kinds"`
	AttainmentByWorkspace map[string]float64 `json:"workspaces"`
	OutcomeCounts         map[string]int     `json:"outcomes"`
	// FailureCounts counts the requests without a complete and correct response before
	// the deadline, by the cause of the failure.
	FailureCounts map[string]int `json:"faults"`
	// WrongResponses counts responses in which a token was missing, duplicated or
	// different from the expected text.
	WrongResponses int `json:"wrong"`
	// RetryHints counts responses with a Retry-After header.
	RetryHints int `json:"hints"`
	// DuplicateOrders counts orders that ran more than once.
	DuplicateOrders int `json:"twice"`
	// StageCosts is the cost by stage of the attained requests.
	StageCosts map[string]stageCost `json:"stages"`
	// PrefillTokens and DecodeTokens are the prompt tokens that the engines computed
	// and the tokens that they generated, for all requests.
	PrefillTokens int `json:"prefill_tokens"`
	DecodeTokens  int `json:"decode_tokens"`
	// DecodeTokensBySecond is the number of tokens that the engines generated in each
	// second of the run.
	DecodeTokensBySecond []int `json:"decode_tokens_by_second"`
	// FullDecodeRate is the tokens a second that the engines generate when all of their
	// slots are busy.
	FullDecodeRate float64 `json:"decode_tokens_s_full"`
	// WastedFraction is the fraction of DecodeTokens that no attained request received.
	WastedFraction float64 `json:"wasted"`
	// FirstTokenDelay is the time from a request to its first token and TokenGap the time
	// between two tokens, both in milliseconds.
	FirstTokenDelay Quantiles `json:"first_token_ms"`
	TokenGap        Quantiles `json:"token_gap_ms"`
	// ProcessorMillis is the CPU time of the process per request, in milliseconds. The
	// process holds the instances, the stand-ins and the client.
	ProcessorMillis float64 `json:"processor_ms"`
}

// Quantiles are quantiles of a duration in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Range and precision of the histograms.
const (
	maxMicros         = 60_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, significantDigits) }

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the histogram's range, so RecordValue cannot fail. No request
	// reaches maxMicros: the client stops at the deadline plus deadlineGrace.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: millis(50), P95: millis(95), P99: millis(99)}
}

// weightedTally sums the weights of requests, and of the attained ones among them.
type weightedTally struct{ attainedWeight, totalWeight float64 }

func (t *weightedTally) add(weight float64, attained bool) {
	t.totalWeight += weight
	if attained {
		t.attainedWeight += weight
	}
}

func (t *weightedTally) fraction() float64 { return t.attainedWeight / max(t.totalWeight, 1) }

func newRow(s *scenario, policy Policy, environment *standin.Environment, results []requestResult, cpuTime time.Duration) *Row {
	row := &Row{
		Scenario: s.name, Policy: policy, RequestCount: len(results),
		OutcomeCounts: make(map[string]int), FailureCounts: make(map[string]int), StageCosts: make(map[string]stageCost),
		ProcessorMillis: float64(cpuTime.Microseconds()) / 1000 / float64(max(len(results), 1)),
	}
	row.FullDecodeRate = engineStepRate()
	row.countResults(results)
	usefulTokens := 0
	for _, result := range results {
		if !result.isAttained() {
			continue
		}
		for stage, cost := range result.stageCosts {
			sum := row.StageCosts[stage]
			row.StageCosts[stage] = stageCost{
				Calls: sum.Calls + cost.Calls, BusyMillis: sum.BusyMillis + cost.BusyMillis,
				PrefillTokens: sum.PrefillTokens + cost.PrefillTokens, DecodeTokens: sum.DecodeTokens + cost.DecodeTokens,
			}
			usefulTokens += cost.DecodeTokens
		}
	}
	row.PrefillTokens, row.DecodeTokens = countEngineTokens(environment)
	row.WastedFraction = max(0, 1-float64(usefulTokens)/float64(max(row.DecodeTokens, 1)))
	for _, result := range results {
		if result.arrival.kind == orderKind && environment.Ledger("gateway").Runs(workspaceName(result.arrival.workspace), result.arrival.idempotencyKey) > 1 {
			row.DuplicateOrders++
		}
	}
	return row
}

// isAttained reports whether the response was complete, correct and in time.
func (r *requestResult) isAttained() bool { return r.isComplete && !r.isLate && !r.hasWrongTokens }

// countResults sets the attainments, counts and quantiles of the row.
func (r *Row) countResults(results []requestResult) {
	firstTokenDelays, tokenGaps := newHistogram(), newHistogram()
	total := &weightedTally{}
	byKind, byWorkspace := make(map[string]*weightedTally), make(map[string]*weightedTally)
	for _, result := range results {
		attained := result.isAttained()
		weight := result.arrival.weight
		total.add(weight, attained)
		tallyOf(byKind, result.arrival.kind).add(weight, attained)
		tallyOf(byWorkspace, workspaceName(result.arrival.workspace)).add(weight, attained)
		r.countResult(result, attained)
		if result.firstTokenDelay > 0 {
			recordDuration(firstTokenDelays, result.firstTokenDelay)
		}
		for _, d := range result.tokenGaps {
			recordDuration(tokenGaps, d)
		}
	}
	r.Attainment = total.fraction()
	r.AttainmentByKind, r.AttainmentByWorkspace = fractions(byKind), fractions(byWorkspace)
	r.FirstTokenDelay, r.TokenGap = quantiles(firstTokenDelays), quantiles(tokenGaps)
}

// countResult counts the outcome and, if the request was not attained, the cause. A
// complete response that was late, wrong or both counts as "late answer".
func (r *Row) countResult(result requestResult, attained bool) {
	r.OutcomeCounts[string(result.outcome)]++
	if result.hasWrongTokens {
		r.WrongResponses++
	}
	if result.hasRetryHint {
		r.RetryHints++
	}
	switch {
	case attained:
	case result.isComplete:
		r.FailureCounts["late answer"]++
	default:
		r.FailureCounts[result.failure]++
	}
}

// tallyOf returns the tally of the given name and adds it to m if it is missing.
func tallyOf(m map[string]*weightedTally, name string) *weightedTally {
	if m[name] == nil {
		m[name] = &weightedTally{}
	}
	return m[name]
}

func fractions(m map[string]*weightedTally) map[string]float64 {
	out := make(map[string]float64, len(m))
	for name, t := range m {
		out[name] = t.fraction()
	}
	return out
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a text table, followed by the most frequent causes of
// failure of each row.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "scenario\tpolicy\trequests\tattainment\tlimit\talarm\tquestion\tsummary\tfile\twasted\tprefill\tfirst p95 ms\tgap p95 ms\twrong\ttwice\tcpu ms")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%.0f\t%.1f\t%d\t%d\t%.2f\n",
			row.Scenario, row.Policy, row.RequestCount, row.Attainment, row.AttainmentLimit,
			row.AttainmentByKind["alarm"], row.AttainmentByKind["question"], row.AttainmentByKind["summary"], row.AttainmentByKind[orderKind],
			row.WastedFraction, row.PrefillTokens, row.FirstTokenDelay.P95, row.TokenGap.P95, row.WrongResponses, row.DuplicateOrders, row.ProcessorMillis)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, row := range r.Rows {
		row.writeFailureCauses(w)
	}
	return nil
}

// maxShownCauses bounds the causes of failure that WriteTable writes for each row.
const maxShownCauses = 5

func (r *Row) writeFailureCauses(w io.Writer) {
	causes := slices.SortedFunc(maps.Keys(r.FailureCounts), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.FailureCounts[b], r.FailureCounts[a]), cmp.Compare(a, b))
	})
	for i, cause := range causes {
		if i == maxShownCauses {
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s: %d times %s\n", r.Scenario, r.Policy, r.FailureCounts[cause], cause)
	}
}
