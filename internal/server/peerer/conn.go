package peerer

import (
	"context"

	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// Conn is an open connection to one instance.
type Conn interface {
	// Read returns the next frame. Only one goroutine may call it.
	Read() (*encoder.Frame, error)
	// Write sends a frame. Only one goroutine may call it.
	Write(frame *encoder.Frame) error
	// Fetch requests the documents changed after a version from the other side. It
	// is safe for concurrent use.
	Fetch(ctx context.Context, after uint64) (*encoder.DocumentsResponse, error)
	// Serve responds to the other side's Fetch calls until the connection ends.
	Serve(respond func(after uint64) *encoder.DocumentsResponse)
	// Close closes the connection at once.
	Close() error
}

// Transport opens connections between instances.
type Transport interface {
	// Dial connects to an instance's peer address.
	Dial(ctx context.Context, address string) (Conn, error)
	// Accept returns the next connection that another instance opened, or an error
	// after Close.
	Accept() (Conn, error)
	// Close makes Accept return an error. Open connections stay open.
	Close() error
}
