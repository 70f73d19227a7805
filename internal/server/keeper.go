package server

import (
	"context"
	"time"
)

// StreamOrigin is what began a stream: a service, and the software version of its replica.
type StreamOrigin struct {
	Service, Version string
}

// StreamOrigins remembers what began the streams of all instances. It must be safe for
// concurrent use.
type StreamOrigins interface {
	// Record records what began the stream of a client's attempt.
	Record(attempt string, origin StreamOrigin)
	// Find returns what began the stream of a client's attempt at any instance; ok is false
	// if none knows.
	Find(ctx context.Context, attempt string) (origin StreamOrigin, ok bool)
}

// RequestBlocker knows the requests, and the parts of prompts, that crash replicas, from all
// instances. It must be safe for concurrent use.
type RequestBlocker interface {
	// BlockedFor returns for how long a request must not be sent to replicas, and the key or the
	// part for which it is blocked; zero if it is not.
	BlockedFor(content RequestContent) (wait time.Duration, cause string)
	// RecordCrash records that an incarnation of a service's replica ended an attempt of a request, which
	// began at beganAt, without a response, or within it. beganAt is zero if it is not known.
	RecordCrash(service, incarnation string, content RequestContent, beganAt time.Time)
	// RecordServing records that an incarnation has begun to respond to an attempt that began at beganAt.
	RecordServing(incarnation string, beganAt time.Time)
	// RecordCompletion records that a service completed a request.
	RecordCompletion(service string, content RequestContent)
}

// LimitKeeper keeps the limits that replicas state for requests from all instances together. It must
// be safe for concurrent use.
type LimitKeeper interface {
	// HasLimits reports whether a replica is known that states a limit. Without one, the other
	// methods need not be called.
	HasLimits() bool
	// BlockedFor returns for how long a replica is known to take no request; zero if it may take one.
	BlockedFor(replica *Replica) time.Duration
	// IsLimited reports whether a replica states a limit.
	IsLimited(replica *Replica) bool
	// Acquire takes a request of a rank from the limit of the first of a service's replicas that takes
	// one, and returns its index. It returns -1 if none does, and when one may. isScarce is set if all
	// replicas that may get the request have a limit; requests of a lower rank then go first.
	Acquire(ctx context.Context, replicas []Replica, rank int, isScarce bool) (index int, wait time.Duration)
	// RecordResponse records what a replica states in a response to a request that was sent at
	// sentAt or later.
	RecordResponse(replica *Replica, info ResponseInfo, sentAt time.Time)
}

// PauseKeeper keeps the pauses that replicas request: the times for which a replica wants no request from
// this instance. It must be safe for concurrent use.
type PauseKeeper interface {
	// PausedFor returns for how long a replica wants no request; zero if it takes requests.
	PausedFor(replica *Replica) time.Duration
	// RecordResponse records what a replica states in a response to a request that was sent at
	// sentAt or later.
	RecordResponse(replica *Replica, info ResponseInfo, sentAt time.Time)
}

// IncarnationVerifier knows of which replicas it is doubtful whether the known row is that of the process which
// serves now. It must be safe for concurrent use.
type IncarnationVerifier interface {
	// IsDoubtful reports whether a replica must state its start before its row is relied on: its connections
	// have broken, or the store has failed, since it last did.
	IsDoubtful(replica *Replica) bool
	// RecordBreak records that a connection to a replica broke, or could not be opened.
	RecordBreak(replica *Replica)
	// RecordStart records the start that a replica states when it is asked at askedAt. It reports whether that
	// is the one of its row.
	RecordStart(replica *Replica, startMillis int64, askedAt time.Time) bool
	// IsConfirmed reports whether a connection that was opened at openedAt, when the row was known, leads to
	// the incarnation of the row. That is so if the replica has stated that start later: one that starts again
	// never states an earlier start.
	IsConfirmed(replica *Replica, openedAt time.Time) bool
}

// Statement is what a replica states of its incarnation when it is asked.
type Statement struct {
	// IsAnswered is set if the replica has answered, IsStated if the answer states StartMillis, its start.
	IsAnswered, IsStated bool
	StartMillis          int64
	// AskedAt is when it was asked.
	AskedAt time.Time
}

// Speed is what is known of how fast a replica works.
type Speed struct {
	// Pace is how long work takes at the replica, relative to usual.
	Pace float64
	// Limit is the number of requests in progress above which work slows down; zero if unknown.
	Limit int
}

// SpeedSample is what one attempt showed of the speed of a replica.
type SpeedSample struct {
	// Elapsed is the time to the response headers, or to the end of an attempt that ended without them.
	Elapsed time.Duration
	// SizeClass groups requests of similar size.
	SizeClass int
	// HasNoHeaders is set if the attempt was given up before the response headers arrived.
	HasNoHeaders bool
	// Info is what the response states.
	Info ResponseInfo
}

// SpeedKeeper learns the speeds of replicas. It must be safe for concurrent use.
type SpeedKeeper interface {
	// HasSpeeds reports whether a replica of a service is known whose speed differs from usual. Without
	// one, Speed need not be called.
	HasSpeeds(service string) bool
	// Speed returns the speed of a replica.
	Speed(replica *Replica) Speed
	// RecordSample records what an attempt showed.
	RecordSample(replica *Replica, sample SpeedSample)
}
