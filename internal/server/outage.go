package server

import "time"

// Outage is a time in which the platform's store did not respond to an instance.
type Outage struct {
	// Begin is when the store should have answered the first call that failed, and End when it
	// responded again.
	Begin, End time.Time
}
