package relayer

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestEveryVerdictIsTrue walks every fate with everything that a request may
// have left, and holds each verdict to what may be said and done.
func TestEveryVerdictIsTrue(t *testing.T) {
	is := is.New(t)
	bools := []bool{false, true}
	cases := 0
	for f := fateUnsent; f <= fateGone; f++ {
		for bits := range 1 << 6 {
			s := standing{
				repeatable: bools[bits&1], mayHaveRun: bools[bits>>1&1], attempts: bits >> 2 & 1, tries: bits >> 3 & 1, time: bools[bits>>4&1], begun: bools[bits>>5&1],
			}
			v := judge(f, s)
			cases++
			actions := []action{v.action}
			if v.budget {
				actions = append(actions, v.otherwise)
			}
			for _, a := range actions {
				checkAction(is, f, s, v, a)
			}
		}
	}
	is.Equal(cases, 11*64)
}

func checkAction(is *is.I, f fate, s standing, v verdict, a action) {
	is.Helper()
	proven := f == fateUnsent || f == fateRefused || f == fateMisdirected || f == fateStale
	again := a == actAgain || a == actRemake
	if a == actRefuse {
		is.True(proven && !s.mayHaveRun) // a refusal is true
	}
	if again {
		is.True(proven || s.repeatable) // nothing runs twice that may not
		is.True(s.time && s.tries > 0)
		is.True(v.budget || f == fateUnsent)                               // each arrival beyond the first is paid for
		is.True(s.attempts > 0 || f == fateUnsent || f == fateMisdirected) // no more replicas than allowed
		is.True(f != fateWhole && f != fateGone && f != fateLate)          // ended requests stay ended
	}
	if a == actFail {
		is.True(v.status == http.StatusBadGateway || v.status == http.StatusGatewayTimeout) // promises nothing
	}
	if s.begun {
		is.True(again || a == actAbort || a == actEnd) // a part of an answer is followed by nothing of our own
	}
	if f == fateBroken {
		is.True(again || a == actAbort) // a part never looks whole
	}
	if f == fateWhole || f == fateGone {
		is.Equal(a, actEnd)
	} else {
		is.True(a != actEnd) // everyone else hears something
	}
	is.True(a != actPass || f == fateFailed)
}
