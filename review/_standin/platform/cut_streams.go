package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case cut-streams: during a release, while one replica of the old software version is left, an
// instance is stopped with SIGTERM, and that replica falls silent for a second or so. It is sound and
// goes on afterwards. With TROUBLE=0 the instance is stopped too, and the replica does not fall silent.

const (
	streamEvents   = 20
	streamEventGap = 130 * time.Millisecond
	streamsPerS    = 20
	// termAt is when the instance gets SIGTERM, after the start of traffic. The silence begins silenceAt
	// later.
	termAt      = 5 * time.Second
	silenceAt   = 200 * time.Millisecond
	silenceTime = 1200 * time.Millisecond
	// rotationTime is how long after the SIGTERM the platform still sends requests to the instance: it
	// checks once a second, and takes an instance out after two misses.
	rotationTime = 1500 * time.Millisecond
	cutTraffic   = 8 * time.Second
)

// streamServer writes streams of numbered events.
type streamServer struct {
	record *recorder
	mu     sync.Mutex
	// silentFrom is when the silence of the replica silentID begins; zero without one.
	silentFrom time.Time
	silentID   string
	// ranAt holds, by request, the replicas that ran it.
	ranAt map[string][]string
	// closedEarly holds the requests whose caller closed the connection before the end.
	closedEarly map[string]bool
}

// waitSilence returns at once, or when the silence of the replica has ended.
func (s *streamServer) waitSilence(id string) {
	s.mu.Lock()
	from := s.silentFrom
	s.mu.Unlock()
	if since := time.Since(from); id == s.silentID && !from.IsZero() && since >= 0 && since < silenceTime {
		time.Sleep(silenceTime - since)
	}
}

func (s *streamServer) handler(r **replica) func(*replicaConn, *http.Request, []byte) bool {
	return func(c *replicaConn, request *http.Request, _ []byte) bool {
		id := request.Header.Get("Attempt-Id")
		s.mu.Lock()
		s.ranAt[id] = append(s.ranAt[id], (*r).id)
		s.mu.Unlock()
		first := 1
		if last := request.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		header := (*r).identityHeader(request)
		header.Set("Content-Type", "text/event-stream")
		header.Set("Transfer-Encoding", "chunked")
		var head strings.Builder
		head.WriteString("HTTP/1.1 200 OK\r\n")
		_ = header.Write(&head)
		s.waitSilence((*r).id)
		if c.send(head.String()+"\r\n") != nil {
			return false
		}
		for n := first; n <= streamEvents; n++ {
			select {
			case <-time.After(streamEventGap):
			case <-c.closed:
			}
			s.waitSilence((*r).id)
			select {
			case <-c.closed:
				s.record.add("replica %s: the connection of request %s was closed before event %d", (*r).id, id, n)
				s.mu.Lock()
				s.closedEarly[id] = true
				s.mu.Unlock()
				return false
			default:
			}
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, (*r).version)
			if c.send(fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) != nil {
				return false
			}
		}
		return c.send("0\r\n\r\n") == nil
	}
}

func runCutStreams(s *scene) (isBroken bool, err error) {
	server := &streamServer{record: s.record, silentID: "pool-old", ranAt: make(map[string][]string), closedEarly: make(map[string]bool)}
	for id, version := range map[string]string{"pool-old": "v1", "pool-new-1": "v2", "pool-new-2": "v2"} {
		var r *replica
		r, err := newReplica(id, "pool", version, "zone-a", 96, func(c *replicaConn, request *http.Request, body []byte) bool {
			return server.handler(&r)(c, request, body)
		})
		if err != nil {
			return false, err
		}
		r.register(s.store)
	}
	s.store.put("op", "config", map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "trend", "Host": "pool.example", "Prefix": "/trend/", "Kind": "streaming", "TimeoutMs": 8000, "GoalMs": 1400, "GapGoalMs": 250, "Priority": 0,
			"Service": "pool", "MaxAttempts": 3, "Public": false, "Sticky": true, "Resumable": true,
		}},
		"Services": []any{map[string]any{"Name": "pool", "HealthPath": "/healthz", "MaxConns": 500, "Engine": map[string]any{"Slots": 96}}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "mill", "ApiKeys": []string{"key-of-mill"}}},
	})
	for n, zone := range []string{"zone-a", "zone-b"} {
		if _, err := s.startInstance(fmt.Sprintf("edge-%d", n), zone); err != nil {
			return false, err
		}
	}
	if err := s.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	startedAt := time.Now()
	stopped := s.instances[0]
	var clients sync.WaitGroup
	var mu sync.Mutex
	var lost, sent int
	hasTerm := false
	for n := 0; time.Since(startedAt) < cutTraffic; n++ {
		since := time.Since(startedAt)
		if !hasTerm && since > termAt {
			hasTerm = true
			s.record.add("SIGTERM to %s", stopped.id)
			stopped.signal(syscall.SIGTERM)
			if s.hasTrouble {
				server.mu.Lock()
				server.silentFrom = time.Now().Add(silenceAt)
				server.mu.Unlock()
				s.record.add("replica %s falls silent for %d ms in %d ms", server.silentID, silenceTime.Milliseconds(), silenceAt.Milliseconds())
			}
		}
		target := s.instances[n%2]
		if since > termAt+rotationTime {
			target = s.instances[1]
		}
		clients.Go(func() {
			id := fmt.Sprintf("%016x", 0x1000+n)
			header := http.Header{"Attempt-Id": {id}, "Key": {"key-of-mill"}, "Model": {"m"}, "Token-Counts": {"1460,100"}, "Prompt-Prefix": {fmt.Sprintf("5c1e07a2:800,%08x:600,%08x:60", 0xa000+n, 0xb000+n)}}
			a := request(target.front, http.MethodPost, "pool.example", "/trend/2f", header, "{}", 8*time.Second)
			events := strings.Count(a.body, "\n\n")
			server.mu.Lock()
			ranAt := server.ranAt[id]
			server.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			sent++
			isLost := target == stopped && len(ranAt) > 0 && !a.isWhole
			if isLost {
				lost++
			}
			s.record.add("request %s at %s, run by %v: status %d, %d events, whole %v, took %d ms, error %v", id, target.id, ranAt, a.status, events, a.isWhole, a.took.Milliseconds(), a.err)
		})
		time.Sleep(time.Second / streamsPerS)
	}
	clients.Wait()
	server.mu.Lock()
	defer server.mu.Unlock()
	s.record.add("%d requests; at the stopped instance %d connections ended without a complete answer after the request had been passed on to a sound replica", sent, lost)
	return lost > 0, nil
}
