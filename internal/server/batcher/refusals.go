package batcher

import (
	"sync"
	"time"
)

const (
	// maxRefusals bounds the remembered refusals; when it is reached, new ones are not remembered. At
	// 500 refusals per second and waits of up to 4 s, 2,000 are valid at a time.
	maxRefusals = 4096
	// waitShare is the part of the time that a client has left for which it waits at most, however long
	// Retry-After is.
	waitShare = 1.0 / 3
)

// Refusals remembers for the content of refused requests the earliest time at which their clients may return.
// It is safe for concurrent use; the zero value is ready to use.
type Refusals struct {
	mu         sync.Mutex
	mayReturn  map[string]time.Time
	lastExpiry time.Time
}

// Record remembers that a request was refused with a Retry-After while its client had a time left.
func (r *Refusals) Record(content string, retryAfter, left time.Duration, now time.Time) {
	wait := min(retryAfter, time.Duration(waitShare*float64(left)))
	if content == "" || wait <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mayReturn == nil {
		r.mayReturn = make(map[string]time.Time)
	}
	if len(r.mayReturn) >= maxRefusals && now.Sub(r.lastExpiry) > time.Second {
		r.lastExpiry = now
		for other, at := range r.mayReturn {
			if !now.Before(at) {
				delete(r.mayReturn, other)
			}
		}
	}
	if _, isKnown := r.mayReturn[content]; isKnown || len(r.mayReturn) < maxRefusals {
		r.mayReturn[content] = now.Add(wait)
	}
}

// IsEarly reports whether a request with the content was refused and may not return yet.
func (r *Refusals) IsEarly(content string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	mayReturn, isKnown := r.mayReturn[content]
	return isKnown && now.Before(mayReturn)
}
