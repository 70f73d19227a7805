package batcher

// WithPaceStatements sets a function that reports whether replicas have stated their paces to this instance. It is called
// with the lock of the Owner held.
func WithPaceStatements(statesPaces func() bool) OwnerOption {
	return func(o *Owner) { o.statesPaces = statesPaces }
}

// finishesLate reports whether the late tasks of a service wait until their hard deadline instead of maxLateWait. The wait
// by which a request was admitted is off where replicas share machines, so that the time that work takes changes many
// times a second. A request that is dropped at a later stage has wasted its earlier ones, and its client begins again
// at the first. The clients of patient routes wait anyway. mu must be held.
func (o *Owner) finishesLate(service string) bool {
	return o.returning.AppliesTo(o.patientServices[service]) || o.statesPaces()
}
