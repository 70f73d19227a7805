package tunneler

import (
	"bufio"
	"cmp"
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/tuner"
)

const (
	// helperTimeout bounds the time until a helper has responded.
	helperTimeout = 400 * time.Millisecond
	// nextHelperDelay is how long a helper may take before another one is asked too.
	nextHelperDelay = 60 * time.Millisecond
	// minAvoidance and maxAvoidance bound how long a helper is not asked after it did not help. The
	// time doubles until it helps again.
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 4 * time.Second
	// maxHelpers bounds the helpers that are asked for one connection.
	maxHelpers = 5
)

// Instances returns the instances that respond. It must be safe for concurrent use.
type Instances interface {
	Self() server.Instance
	AvailableInstances() []server.Instance
}

// Client implements dialer.Tunnel: it opens connections to replicas through other instances.
type Client struct {
	log       logr.Logger
	timer     server.Timer
	instances Instances
	dial      func(ctx context.Context, address string) (net.Conn, error)
	mu        sync.Mutex
	// avoided holds, by ID, the helpers that did not help when they were asked last.
	avoided     map[string]avoidance
	openedCount atomic.Uint64
	failedCount atomic.Uint64
	// regions holds the region of each data centre, and region is that of this instance.
	regions map[string]string
	region  string
}

// ClientOption sets a property of a Client.
type ClientOption func(*Client)

// WithRegions sets the region of each data centre and that of this instance. Bodies of requests are sent through instances
// in regions that are allowed for them, or in that of this instance, only.
func WithRegions(regions map[string]string, region string) ClientOption {
	return func(c *Client) { c.regions, c.region = regions, region }
}

// avoidance is the time for which a helper is not asked.
type avoidance struct {
	until    time.Time
	duration time.Duration
}

// NewClient returns a Client.
func NewClient(log logr.Logger, timer server.Timer, instances Instances, options ...ClientOption) *Client {
	network := tuner.NewDialer(helperTimeout)
	c := &Client{log: log, timer: timer, instances: instances, avoided: make(map[string]avoidance), dial: func(ctx context.Context, address string) (net.Conn, error) {
		return network.DialContext(ctx, "tcp", address)
	}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Counts returns the numbers of connections that were opened through other instances, and of those
// that no instance opened.
func (c *Client) Counts() (opened, failed uint64) { return c.openedCount.Load(), c.failedCount.Load() }

// answer is the response of a helper.
type answer struct {
	helper string
	conn   net.Conn
	status status
	err    error
	// pause is the rest of the pause that the replica has requested from the helper, with statusPaused.
	pause time.Duration
	// isLate is set if it took longer than nextHelperDelay.
	isLate bool
}

// DialThrough implements dialer.Tunnel. It asks one helper after the other, the next one also if the
// last one takes long. If the replica has requested pauses from helpers and none opens a connection, it
// returns ErrWithheld with the shortest of them.
func (c *Client) DialThrough(ctx context.Context, replica *server.Replica) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	helpers := c.helpers(replica)
	answers := make(chan answer, len(helpers))
	pending := 0
	var pause time.Duration
	for {
		if len(helpers) > 0 {
			helper := helpers[0]
			helpers = helpers[1:]
			pending++
			go func() {
				askedAt := c.timer.Now()
				a := c.open(ctx, helper, replica)
				a.isLate = c.timer.Now().Sub(askedAt) > nextHelperDelay
				answers <- a
			}()
		}
		if pending == 0 {
			c.failedCount.Add(1)
			if pause > 0 {
				return nil, server.NewFault("tunnel", replica.ID, merry.Prepend(server.ErrWithheld, "the replica has requested a pause"), server.WithRetryAfter(pause))
			}
			return nil, server.NewFault("tunnel", replica.ID, merry.Prepend(server.ErrUnavailable, "no other instance has a path"))
		}
		a, ok := c.await(ctx, answers, len(helpers) > 0)
		if !ok {
			if ctx.Err() == nil {
				continue
			}
			discard(answers, pending)
			return nil, server.NewFault("tunnel", replica.ID, merry.Prepend(server.ErrUnavailable, context.Cause(ctx).Error()))
		}
		pending--
		if a.pause > 0 && (pause == 0 || a.pause < pause) {
			pause = a.pause
		}
		if isFinal, err := c.judge(ctx, a, replica); isFinal {
			discard(answers, pending)
			return a.conn, err
		}
	}
}

// await returns the next answer. ok is false if ctx has ended, or if another helper is left to be asked
// and none has answered for nextHelperDelay.
func (c *Client) await(ctx context.Context, answers <-chan answer, hasNext bool) (a answer, ok bool) {
	slow := make(chan struct{})
	if hasNext {
		defer c.timer.After(nextHelperDelay, func(time.Time) { close(slow) })()
	}
	select {
	case a = <-answers:
		return a, true
	case <-slow:
	case <-ctx.Done():
	}
	return answer{}, false
}

// judge records an answer and reports whether it is the result.
func (c *Client) judge(ctx context.Context, a answer, replica *server.Replica) (isFinal bool, err error) {
	switch {
	case a.err == nil && a.status == statusConnected:
		c.openedCount.Add(1)
		c.mu.Lock()
		delete(c.avoided, a.helper)
		c.mu.Unlock()
		return true, nil
	case a.err == nil && a.status == statusUnreachable:
		c.failedCount.Add(1)
		return true, server.NewFault("tunnel", replica.ID, server.ErrReplicaUnreachable)
	case ctx.Err() == nil:
		if a.err != nil || a.status != statusFailed && a.status != statusPaused || a.isLate {
			c.avoid(a.helper)
		}
		c.log.V(1).Info("instance does not help", "helper", a.helper, "replica", replica.ID, "response", a.status.String(), "cause", errorText(a.err))
	}
	return false, nil
}

// discard closes the connections of answers that are not needed any more.
func discard(answers <-chan answer, count int) {
	if count == 0 {
		return
	}
	go func() {
		for range count {
			if a := <-answers; a.conn != nil {
				_ = a.conn.Close()
			}
		}
	}()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// helpers returns the instances to ask, in this order: those in the data centre of the replica first,
// otherwise in random order, so that the load is spread.
func (c *Client) helpers(replica *server.Replica) []server.Instance {
	self, now := c.instances.Self().ID, c.timer.Now()
	candidates := slices.Clone(c.instances.AvailableInstances())
	c.mu.Lock()
	candidates = slices.DeleteFunc(candidates, func(instance server.Instance) bool {
		return instance.ID == self || !c.mayHelp(instance, replica) || now.Before(c.avoided[instance.ID].until)
	})
	c.mu.Unlock()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b server.Instance) int {
		return distance(a, replica) - distance(b, replica)
	})
	return candidates[:min(len(candidates), maxHelpers)]
}

// mayHelp reports whether connections to a replica may be passed on by an instance.
func (c *Client) mayHelp(instance server.Instance, replica *server.Replica) bool {
	region := c.regions[instance.Datacentre]
	return len(replica.HelperRegions) == 0 || region != "" && (region == c.region || slices.Contains(replica.HelperRegions, region))
}

// distance returns 0 for an instance in the data centre of a replica, otherwise 1.
func distance(instance server.Instance, replica *server.Replica) int {
	if instance.Datacentre == replica.Datacentre {
		return 0
	}
	return 1
}

// avoid has a helper not asked for a while.
func (c *Client) avoid(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	for other, a := range c.avoided {
		if now.Sub(a.until) > maxAvoidance {
			delete(c.avoided, other)
		}
	}
	duration := min(max(2*c.avoided[id].duration, minAvoidance), maxAvoidance)
	c.avoided[id] = avoidance{until: now.Add(duration), duration: duration}
}

// open asks a helper for a connection to a replica. The connection of the answer is nil unless its
// status is statusConnected.
func (c *Client) open(ctx context.Context, helper server.Instance, replica *server.Replica) answer {
	conn, a := c.exchange(ctx, helper, request{Replica: replica.ID, Address: replica.Address, IsCounted: true})
	if conn != nil {
		conn.reportPause = func(pause time.Duration) {
			if other, _ := c.exchange(context.Background(), helper, request{Replica: replica.ID, Address: replica.Address, PauseMillis: pause.Milliseconds()}); other != nil {
				_ = other.Close()
			}
		}
		a.conn = conn
	}
	return a
}

// exchange sends a request to a helper and returns its answer, with the connection if its status is
// statusConnected.
func (c *Client) exchange(ctx context.Context, helper server.Instance, r request) (*tunnelConn, answer) {
	ctx, cancel := context.WithTimeout(ctx, helperTimeout)
	defer cancel()
	conn, err := c.dial(ctx, helper.Address)
	if err != nil {
		return nil, answer{helper: helper.ID, status: statusLost, err: err}
	}
	detach := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer detach()
	reader := bufio.NewReaderSize(conn, frameHeaderBytes+frameBytes)
	err = writeRequest(conn, r)
	var response [1]byte
	if err == nil {
		_, err = io.ReadFull(reader, response[:])
	}
	a := answer{helper: helper.ID, status: status(response[0])}
	if err == nil && a.status == statusPaused {
		var rest [pauseBytes]byte
		_, err = io.ReadFull(reader, rest[:])
		a.pause = time.Duration(binary.BigEndian.Uint32(rest[:])) * time.Millisecond
	}
	if err != nil || a.status != statusConnected || !detach() {
		_ = conn.Close()
		a.err = cmp.Or(err, ctx.Err())
		return nil, a
	}
	return &tunnelConn{Conn: conn, reader: reader}, a
}
