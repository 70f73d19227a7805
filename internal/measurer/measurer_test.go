package measurer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/standin"
)

func TestArrivalsAreDeterminedBySeed(t *testing.T) {
	is := is.New(t)
	s, err := newScenario("burst")
	is.NoErr(err)
	first, second := newArrivals(s, 7, MinDuration), newArrivals(s, 7, MinDuration)
	is.Equal(first, second)
	is.True(len(newArrivals(s, 8, MinDuration)) > 0)
	is.True(newArrivals(s, 8, MinDuration)[0].offset != first[0].offset)
}

func TestReferenceAttainmentPrefersWeight(t *testing.T) {
	is := is.New(t)
	s, err := newScenario("calm")
	is.NoErr(err)
	is.Equal(referenceAttainment(s, MinDuration, newArrivals(s, 1, MinDuration)), 1.0)
	// All requests arrive at once, and the engines can finish 100 before the deadline:
	// the 50 of weight 3 and 50 of the 100 of weight 1.
	var arrivals []arrival
	for i := range 150 {
		a := arrival{outputTokens: 32, weight: 1, input: "question"}
		if i%3 == 0 {
			a.weight = 3
		}
		arrivals = append(arrivals, a)
	}
	seconds := 100.5 * slotSteps(arrivals[0]) / engineStepRate()
	for i := range arrivals {
		arrivals[i].deadline = poolStageCount*poolAttemptTime + time.Duration(seconds*float64(time.Second))
	}
	is.Equal(referenceAttainment(s, MinDuration, arrivals), (50*3.0+50)/(50*3+100))
	// Without half of the engines from the start, they can finish only 50.
	s.lostEngineFraction = 0.5
	is.Equal(referenceAttainment(s, 0, arrivals), 50*3.0/(50*3+100))
}

// streamText returns a token stream with an end event. offset returns the offset that
// token i states.
func streamText(tokens []string, offset func(i int) int, total int) string {
	var b strings.Builder
	for i, text := range tokens {
		fmt.Fprintf(&b, "id: %d\nevent: token\ndata: {\"offset\":%d,\"text\":%q}\n\n", i, offset(i), text)
	}
	fmt.Fprintf(&b, "event: end\ndata: {\"outcome\":\"done\",\"total\":%d}\n\n", total)
	return b.String()
}

func TestReadStreamDetectsWrongTokens(t *testing.T) {
	sameOffset := func(i int) int { return i }
	want := standin.GeneratedTokens("one two three four", 3)
	cases := []struct {
		name  string
		text  string
		wrong bool
	}{
		{"correct", streamText(want, sameOffset, len(want)), false},
		{"missing", streamText(want[:2], sameOffset, 2), true},
		{"duplicate", streamText(want, func(i int) int { return max(i-1, 0) }, len(want)), true},
		{"different text", streamText([]string{"Summary:", " nine", " ten"}, sameOffset, len(want)), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			result := requestResult{arrival: arrival{input: "one two three four", outputTokens: 3}}
			result.readStream(strings.NewReader(c.text), time.Now())
			is.Equal(result.outcome, server.OutcomeDone)
			is.Equal(result.hasWrongTokens, c.wrong)
		})
	}
}
