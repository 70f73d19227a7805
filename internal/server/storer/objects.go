package storer

import "context"

// Objects is a client of the platform's object store. It implements server.ObjectStore.
type Objects struct {
	storer *Storer
}

// NewObjects returns an object store client that uses the given platform client.
func NewObjects(storer *Storer) *Objects { return &Objects{storer: storer} }

// Put implements server.ObjectStore.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	return o.storer.PutObject(ctx, name, data)
}

// Get implements server.ObjectStore.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.storer.GetObject(ctx, name)
}
