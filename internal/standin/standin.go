// Package standin provides stand-ins (test doubles) for the systems around an
// instance: the platform's table, object store and instance list, and the upstreams.
//
// They use net/http directly, since faults such as a closed connection or an
// incomplete response need access to the connection. PUT /faults sets the faults.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// Server serves one stand-in on its own address.
type Server struct {
	address       string
	httpServer    *http.Server
	faultInjector *FaultInjector
}

// Listen serves a handler on an address such as "127.0.0.1:0". The faults apply to
// every path except /faults, which reads and sets them.
func Listen(address string, handler http.Handler, faultInjector *FaultInjector) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "start stand-in")
	}
	mux := http.NewServeMux()
	mux.Handle("/faults", faultInjector)
	mux.Handle("/", faultInjector.wrap(handler))
	s := &Server{
		address:       listener.Addr().String(),
		httpServer:    &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second},
		faultInjector: faultInjector,
	}
	go func() { _ = s.httpServer.Serve(listener) }()
	return s, nil
}

// Address returns the server's host:port.
func (s *Server) Address() string { return s.address }

// Faults returns the server's faults, so that the same process can set them.
func (s *Server) Faults() *FaultInjector { return s.faultInjector }

// Close stops the server at once and closes the connections of requests in progress.
func (s *Server) Close() { _ = s.httpServer.Close() }

// Shutdown stops the server after the requests in progress have ended.
func (s *Server) Shutdown(ctx context.Context) error { return s.httpServer.Shutdown(ctx) }

func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}

// readJSON decodes a request's body. On failure it responds with 400 and reports
// false.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// maxBodyBytes bounds the body of a request that readAll reads.
const maxBodyBytes = 64 << 20

// readAll reads a request's body. On failure it responds with 400 and reports false.
func readAll(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return data, true
}
