package blocker

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
)

// key returns the key of a request.
func key(name string) string { return server.ContentKey(name) }

// TestRequestIsConvictedWithoutItsParts guards against the block of parts that other requests have
// too, since one request crashes replicas.
func TestRequestIsConvictedWithoutItsParts(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 8 {
		e.addCrash(testService, fmt.Sprint("r", i), []string{key("bad")}, []string{"session"}, at(float64(i)))
		complete(e, at(float64(i)+0.5))
	}
	is.Equal(convicted(e, at(9)), []string{key("bad")})
	is.Equal(len(convicted(e, at(9))), 0)
}

// TestPartIsConvictedThoughItsRequestsAre guards against a part that crashes replicas under one
// request after the other, each of which is blocked instead of the part.
func TestPartIsConvictedThoughItsRequestsAre(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range minRequestCrashes {
		e.addCrash(testService, fmt.Sprint("r", i), []string{key("first")}, []string{"bad"}, at(float64(i)))
		complete(e, at(float64(i)+0.5))
	}
	is.Equal(convicted(e, at(4)), []string{key("first")})
	e.addCrash(testService, "r9", []string{key("second")}, []string{"bad"}, at(5))
	complete(e, at(6))
	is.Equal(convicted(e, at(7)), []string{"bad"})
}

// TestRequestsBesideACrashingOneAreNotConvicted guards against the block of requests that ran on the
// same replicas as the one that crashed them.
func TestRequestsBesideACrashingOneAreNotConvicted(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 5 {
		if i < 4 {
			e.addCrash(testService, fmt.Sprint("r", i), []string{key("beside")}, []string{"a"}, at(float64(i)))
		}
		e.addCrash(testService, fmt.Sprint("r", i), []string{key("bad")}, nil, at(float64(i)))
		complete(e, at(float64(i)+0.5))
	}
	is.Equal(convicted(e, at(6)), []string{key("bad")})
}

// TestRepeatedRequestThatIsCompletedIsNotConvicted guards against the block of a request that many
// clients send, and that other replicas complete.
func TestRepeatedRequestThatIsCompletedIsNotConvicted(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 12 {
		e.addCompletion(key("popular"), at(float64(i)))
		e.addCrash(testService, fmt.Sprint("r", i), []string{key("popular")}, nil, at(float64(i)+0.1))
		complete(e, at(float64(i)+0.5))
	}
	is.Equal(len(convicted(e, at(12))), 0)
}

// TestCrashesOfOneMomentConvictNoRequest guards against the block of a request that was tried at all
// replicas of a service while all of them ended.
func TestCrashesOfOneMomentConvictNoRequest(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 4 {
		e.addCrash(testService, fmt.Sprint("r", i), []string{key("a")}, nil, at(1+0.1*float64(i)))
	}
	is.Equal(len(convicted(e, at(3))), 0)
}

// TestRequestBesideACrashingPartIsNotConvicted guards against the block of a request that was retried on
// replicas which a part of other requests crashed, before that part is found.
func TestRequestBesideACrashingPartIsNotConvicted(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 5 {
		replica := fmt.Sprint("r", i)
		if i < 3 {
			e.addCrash(testService, replica, []string{key("beside")}, []string{"a"}, at(float64(i)))
		}
		e.addCrash(testService, replica, []string{key(fmt.Sprint("other", i))}, []string{"bad"}, at(float64(i)))
		complete(e, at(float64(i)+0.5))
		if i == 2 {
			is.Equal(len(convicted(e, at(2.6))), 0)
		}
	}
	is.Equal(convicted(e, at(6)), []string{"bad"})
}

// TestRequestWithTwoKeysIsConvicted guards against keys of one request, and its own parts, counting as
// other causes of its crashes.
func TestRequestWithTwoKeysIsConvicted(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range minRequestCrashes {
		e.addCrash(testService, fmt.Sprint("r", i), []string{key("narrow"), key("wide")}, []string{"session"}, at(float64(i)))
		complete(e, at(float64(i)+0.5))
	}
	is.Equal(len(convicted(e, at(4))), 2)
}

// TestPartsAreNoKeysOfRequests guards against clients that state a prompt part which looks like the key
// of a request: fewer crashes would suffice to block it.
func TestPartsAreNoKeysOfRequests(t *testing.T) {
	is := is.New(t)
	for _, name := range partKeys([]string{key("forged"), "part"}) {
		is.True(!isRequestKey(name))
	}
}

// TestBrokenConnectionsOfServingReplicasConvictNoRequest guards against the block of a request whose
// connections broke, each time, though no replica had crashed.
func TestBrokenConnectionsOfServingReplicasConvictNoRequest(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 4 {
		e.addCrash(testService, fmt.Sprint("r", i), []string{key("a")}, nil, at(float64(i)))
		complete(e, at(float64(i)+0.5))
	}
	for i := range 2 {
		e.survivals.add(fmt.Sprint("r", i), at(4))
	}
	is.Equal(len(convicted(e, at(5))), 0)
	e.addCrash(testService, "r0", []string{key("a")}, nil, at(6)) // it crashed later
	complete(e, at(6.5))
	is.Equal(convicted(e, at(7)), []string{key("a")})
}
