package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case decoded-path: orders whose paths hold an encoded slash, while replicas lose some of their
// answers. By the path as it was sent, all of them belong to a route whose requests may run once only.

const (
	orderReplicas  = 3
	losingReplicas = 1 // of orderReplicas, a share of 0.34
	loseEvery      = 10
	ordersPerS     = 25
	lossAt         = 3 * time.Second
	lossTime       = 4 * time.Second
	orderTraffic   = 20 * time.Second
	// The losses come again at this interval.
	lossInterval = 6 * time.Second
)

// orderServer runs orders.
type orderServer struct {
	record *recorder
	mu     sync.Mutex
	// runs holds, by request, the replicas that ran it.
	runs     map[string][]string
	lossFrom time.Time
	count    int
}

// shouldLose counts an answer of a replica that loses some, and reports whether this one is lost.
func (s *orderServer) shouldLose() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := time.Since(s.lossFrom)
	if s.lossFrom.IsZero() || since < 0 || since%lossInterval > lossTime {
		return false
	}
	s.count++
	return s.count%loseEvery == loseEvery/2
}

func (s *orderServer) handle(r *replica, isLosing bool, c *replicaConn, request *http.Request) bool {
	id := request.Header.Get("Attempt-Id")
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], r.id)
	s.mu.Unlock()
	time.Sleep(60 * time.Millisecond)
	if isLosing && s.shouldLose() {
		s.record.add("replica %s has run %s %s (%s) and loses its answer", r.id, request.Method, request.RequestURI, id)
		return false
	}
	return c.send(responseText("200 OK", r.identityHeader(request), "recorded "+request.RequestURI)) == nil
}

func runDecodedPath(s *scene) (isBroken bool, err error) {
	server := &orderServer{record: s.record, runs: make(map[string][]string)}
	for n := range orderReplicas {
		var r *replica
		r, err := newReplica(fmt.Sprintf("gate-%d", n), "gate", "v1", "zone-a", 6, func(c *replicaConn, request *http.Request, _ []byte) bool {
			return server.handle(r, n < losingReplicas, c, request)
		})
		if err != nil {
			return false, err
		}
		r.register(s.store)
	}
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": "gate.example", "Prefix": prefix, "Kind": kind, "TimeoutMs": 1500, "GoalMs": 300, "Priority": 2, "Service": "gate", "MaxAttempts": attempts, "Public": false, "Sticky": false, "Resumable": false,
		}
	}
	s.store.put("op", "config", map[string]any{
		"Version":  3,
		"Routes":   []any{route("dose", "/dose/", "non_idempotent", 1), route("dose-kiln-log", "/dose/kiln/", "idempotent", 2)},
		"Services": []any{map[string]any{"Name": "gate", "HealthPath": "/healthz", "MaxConns": 110}},
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
	if s.hasTrouble {
		server.mu.Lock()
		server.lossFrom = startedAt.Add(lossAt)
		server.mu.Unlock()
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for n := 0; time.Since(startedAt) < orderTraffic; n++ {
		clients.Go(func() {
			id := fmt.Sprintf("%016x", 0x1000+n)
			// The order is for the tank "kiln/NUMBER", or for "tank-NUMBER" for comparison.
			path := fmt.Sprintf("/dose/kiln%%2F%d", n)
			if n%2 == 1 {
				path = fmt.Sprintf("/dose/tank-%d", n)
			}
			header := http.Header{"Attempt-Id": {id}, "Key": {"key-of-mill"}}
			a := request(s.instances[n/2%2].front, http.MethodPost, "gate.example", path, header, `{"litres":5}`, 3*time.Second)
			server.mu.Lock()
			runs := server.runs[id]
			server.mu.Unlock()
			s.record.add("POST %s (%s) at %s: status %d, whole %v, run by %v", path, id, s.instances[n/2%2].id, a.status, a.isWhole, runs)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK {
				served++
			}
		})
		time.Sleep(time.Second / ordersPerS)
	}
	clients.Wait()
	server.mu.Lock()
	defer server.mu.Unlock()
	twice := 0
	for id, runs := range server.runs {
		if len(runs) > 1 {
			twice++
			s.record.add("order %s ran %d times: %v", id, len(runs), runs)
		}
	}
	s.record.add("%d orders ran, %d were answered with 200; %d ran more than once", len(server.runs), served, twice)
	if served == 0 {
		return false, fmt.Errorf("no order was served")
	}
	return twice > 0, nil
}
