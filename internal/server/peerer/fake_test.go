package peerer_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/internal/server/peerer"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/pkg/parser"
)

// memoryNetwork connects transports in memory. Between two addresses that are cut off
// from each other frames are lost without an error, as in a broken network.
type memoryNetwork struct {
	mu         sync.Mutex
	transports map[string]*memoryTransport
	cut        map[[2]string]bool
}

// memoryTransport is the Transport of one instance of a memoryNetwork.
type memoryTransport struct {
	network *memoryNetwork
	address string
	accept  chan peerer.Conn
	closed  chan struct{}
	once    sync.Once
}

// memoryConn is one side of a connection over a memoryNetwork.
type memoryConn struct {
	network *memoryNetwork
	from    string
	to      string
	in      chan []byte
	out     chan []byte
	closed  chan struct{}
	once    *sync.Once
	other   *memoryConn
	mu      sync.Mutex
	respond func(uint64) *encoder.DocumentsResponse
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{transports: make(map[string]*memoryTransport), cut: make(map[[2]string]bool)}
}

func (n *memoryNetwork) newTransport(address string) *memoryTransport {
	transport := &memoryTransport{network: n, address: address, accept: make(chan peerer.Conn, 64), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transports[address] = transport
	return transport
}

// setCut cuts or restores the connections of two addresses in both directions.
func (n *memoryNetwork) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
}

func (n *memoryNetwork) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{a, b}]
}

func (t *memoryTransport) Dial(_ context.Context, address string) (peerer.Conn, error) {
	t.network.mu.Lock()
	target := t.network.transports[address]
	t.network.mu.Unlock()
	if target == nil || t.network.isCut(t.address, address) {
		return nil, server.ErrUnavailable
	}
	toTarget, fromTarget := make(chan []byte, 1024), make(chan []byte, 1024)
	closed, once := make(chan struct{}), &sync.Once{}
	a := &memoryConn{network: t.network, from: t.address, to: address, in: fromTarget, out: toTarget, closed: closed, once: once}
	b := &memoryConn{network: t.network, from: address, to: t.address, in: toTarget, out: fromTarget, closed: closed, once: once, other: a}
	a.other = b
	select {
	case target.accept <- b:
		return a, nil
	case <-target.closed:
		return nil, server.ErrUnavailable
	}
}

func (t *memoryTransport) Accept() (peerer.Conn, error) {
	select {
	case conn := <-t.accept:
		return conn, nil
	case <-t.closed:
		return nil, server.ErrUnavailable
	}
}

func (t *memoryTransport) Close() error {
	t.once.Do(func() { close(t.closed) })
	return nil
}

func (c *memoryConn) Read() (*encoder.Frame, error) {
	select {
	case data := <-c.in:
		return encoder.Unmarshal(data[encoder.LengthPrefixBytes:])
	case <-c.closed:
		return nil, server.ErrUnavailable
	}
}

func (c *memoryConn) Write(frame *encoder.Frame) error {
	data, err := encoder.Marshal(proto.Clone(frame).(*encoder.Frame), encoder.MaxFrameBytes)
	if err != nil || c.network.isCut(c.from, c.to) {
		return err
	}
	select {
	case c.out <- data:
		return nil
	case <-c.closed:
		return server.ErrUnavailable
	}
}

func (c *memoryConn) Fetch(_ context.Context, after uint64) (*encoder.DocumentsResponse, error) {
	c.other.mu.Lock()
	respond := c.other.respond
	c.other.mu.Unlock()
	if c.network.isCut(c.from, c.to) || respond == nil {
		return nil, server.ErrUnavailable
	}
	return respond(after), nil
}

func (c *memoryConn) Serve(respond func(uint64) *encoder.DocumentsResponse) {
	c.mu.Lock()
	c.respond = respond
	c.mu.Unlock()
	<-c.closed
}

func (c *memoryConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// fleet is many instances in one process.
type fleet struct {
	network    *memoryNetwork
	deployment *parser.Deployment
	listings   []server.Listing
	peers      []*peerer.Peerer
	controls   []*controller.Controller
	timers     []*ticker.Ticker
	documents  []*fakeDocuments
}

// newFleet starts count instances, perDatacentre of them in each data centre.
func newFleet(t *testing.T, count, perDatacentre int, options ...peerer.Option) *fleet {
	t.Helper()
	f := &fleet{network: newMemoryNetwork(), deployment: deploymentWithRegions(t, (count+perDatacentre-1)/perDatacentre)}
	for i := range count {
		id := fmt.Sprintf("i-%02d", i)
		f.listings = append(f.listings, server.Listing{
			ID: id, Service: "oriolemill", Datacentre: fmt.Sprintf("d-%d", i/perDatacentre), Address: id, Presence: server.PresenceLive,
		})
	}
	for i := range count {
		f.start(t, i, options...)
	}
	return f
}

// deploymentWithRegions returns a deployment whose data centres lie in six regions.
func deploymentWithRegions(t *testing.T, datacentres int) *parser.Deployment {
	t.Helper()
	var text strings.Builder
	text.WriteString(`deployment: lutvik
services:
  encoders: {role: encoder, replicas: 3}
  retrievers: {role: retriever, replicas: 3}
  oriole-pool: {role: engine, replicas: 18, models: [recovery-7b]}
pipelines:
  boiler-log:
    stages: [{name: encode, service: encoders}, {name: retrieve, service: retrievers}, {name: generate, service: oriole-pool}]
datacentres:
`)
	for i := range datacentres {
		fmt.Fprintf(&text, "  - {name: d-%d, region: r-%d}\n", i, i%6)
	}
	deployment, err := parser.ParseDeployment("config.yaml", []byte(text.String()))
	if err != nil {
		t.Fatalf("deployment cannot be parsed: %v", err)
	}
	return deployment
}

func (f *fleet) start(t *testing.T, i int, options ...peerer.Option) {
	t.Helper()
	listing := f.listings[i]
	timer := ticker.New()
	control := controller.New(timer)
	p, err := peerer.New(control, f.network.newTransport(listing.Address), peerer.Self{Deployment: "lutvik", ID: listing.ID, Datacentre: listing.Datacentre}, options...)
	if err != nil {
		t.Fatalf("peerer %s cannot be created: %v", listing.ID, err)
	}
	control.Publish(server.WithDocuments(1, f.deployment, nil))
	documents := &fakeDocuments{}
	p.SetHandlers(documents, nil, nil)
	f.documents = append(f.documents, documents)
	control.Start()
	p.Start()
	f.peers = append(f.peers, p)
	f.controls = append(f.controls, control)
	f.timers = append(f.timers, timer)
	f.applyListings(i, f.listings)
}

// applyListings applies a reading of the platform's list to one instance.
func (f *fleet) applyListings(i int, listings []server.Listing) {
	p := f.peers[i]
	f.controls[i].Post(controller.EventFunc(func() { p.ApplyListings(listings) }))
}

func (f *fleet) stop() {
	for i := range f.peers {
		f.peers[i].Stop()
		f.timers[i].Close()
		f.controls[i].Stop()
	}
}

// reachableMembers counts the members that respond according to an instance.
func (f *fleet) reachableMembers(i int) int {
	count := 0
	for _, member := range f.controls[i].Snapshot().Members() {
		if member.IsReachable {
			count++
		}
	}
	return count
}

// isolate cuts or restores an instance's connections to all others.
func (f *fleet) isolate(i int, cut bool) {
	for _, other := range f.listings {
		f.network.setCut(f.listings[i].Address, other.Address, cut)
	}
}

// totalTraffic returns the frames and bytes that all instances sent.
func (f *fleet) totalTraffic() (frames, bytes uint64) {
	for _, p := range f.peers {
		n, b := p.SentTotals()
		frames += n
		bytes += b + n*frameOverheadBytes
	}
	return frames, bytes
}

// convergenceTime is how long the tests wait for all links and summaries.
const convergenceTime = 12 * time.Second
