package pauser

import (
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// transport sends requests of an HTTP client unless their upstream has requested a pause.
type transport struct {
	pauser *Pauser
	base   http.RoundTripper
}

// Transport returns a transport that withholds requests to addresses in their pauses, with ErrWithheld, and
// records the pauses that responses request. Addresses stand for upstreams, whose incarnations are not known.
func (p *Pauser) Transport(base http.RoundTripper) http.RoundTripper { return transport{p, base} }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	upstream := &server.Replica{ID: request.URL.Host}
	if wait := t.pauser.PausedFor(upstream); wait > 0 {
		if request.Body != nil {
			_ = request.Body.Close()
		}
		return nil, server.NewFault("pause", upstream.ID, merry.Prepend(server.ErrWithheld, "the upstream has requested a pause"), server.WithRetryAfter(wait))
	}
	sentAt := t.pauser.timer.Now()
	response, err := t.base.RoundTrip(request)
	if err == nil {
		t.pauser.RecordResponse(upstream, server.ResponseInfo{Pause: ParseHeader(response.StatusCode, response.Header, t.pauser.timer.Now())}, sentAt)
	}
	return response, err
}

// CloseIdleConnections closes those of the base transport, for http.Client.
func (t transport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// UpstreamPausedFor returns for how long an upstream wants no request; zero if it takes requests.
func (p *Pauser) UpstreamPausedFor(upstream *server.Upstream) time.Duration {
	return p.PausedFor(&server.Replica{ID: upstream.Address()})
}

// UntilAvailable returns the time until the first of the upstreams takes requests; zero if one takes them now
// or there is none.
func (p *Pauser) UntilAvailable(upstreams []*server.Upstream) time.Duration {
	var shortest time.Duration
	for _, upstream := range upstreams {
		wait := p.UpstreamPausedFor(upstream)
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
