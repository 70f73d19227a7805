package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case mixed-inputs: some replicas of a stage service write a few of their answers twice. Each
// result names its request, stage and piece, so the engines see whose inputs a request is given.

const (
	// garbledReplicas of stageReplicas write each garbledEvery-th of their answers twice, the second
	// time when the next request has arrived on the connection, for garbleTime.
	stageReplicas     = 5
	garbledReplicas   = 3
	garbledEvery      = 34
	garbleTime        = 5 * time.Second
	stageCallTime     = 150 * time.Millisecond
	stagePieceTime    = 9200 * time.Microsecond
	mixedRequestsPerS = 22
	mixedTraffic      = 60 * time.Second
	// The disruption begins garbleAt after the start of traffic and comes again each garbleInterval.
	garbleAt       = 4 * time.Second
	garbleInterval = 8 * time.Second
)

// stageWork is what the stage service and the engines have seen.
type stageWork struct {
	record *recorder
	mu     sync.Mutex
	// results holds, by handle, what the result was made for: request, stage and piece.
	results map[string]string
	// garbleFrom is when the disruption begins; zero without one.
	garbleFrom       time.Time
	answers, garbled int
	ran, mixed       int
}

// shouldGarble counts an answer of a garbling replica and reports whether it is written twice.
func (w *stageWork) shouldGarble() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	since := time.Since(w.garbleFrom)
	if w.garbleFrom.IsZero() || since < 0 || since%garbleInterval > garbleTime {
		return false
	}
	w.answers++
	if w.answers%garbledEvery != garbledEvery/2 {
		return false
	}
	w.garbled++
	return true
}

// stageHandler returns the handler of a replica of the stage service.
func (w *stageWork) stageHandler(r **replica, isGarbling bool) func(*replicaConn, *http.Request, []byte) bool {
	slots := make(chan struct{}, 1)
	count := 0
	return func(c *replicaConn, request *http.Request, body []byte) bool {
		if c.late != "" {
			w.record.add("stage replica %s: the second answer arrives where the one to %s is expected", (*r).id, request.URL.Path)
			_ = c.send(c.late)
			c.late = ""
		}
		if request.URL.Path == "/stage-free" {
			return c.send(responseText("200 OK", http.Header{"Content-Type": {"application/json"}}, "{}")) == nil
		}
		var call struct {
			Items []struct {
				ID    string `json:"Id"`
				Stage int
				Piece int
				Key   string
			}
		}
		if err := json.Unmarshal(body, &call); err != nil || request.URL.Path != "/stage-run" {
			return c.send(responseText("404 Not Found", http.Header{"Not-Run": {"1"}}, "")) == nil
		}
		slots <- struct{}{}
		defer func() { <-slots }()
		time.Sleep(stageCallTime + time.Duration(len(call.Items))*stagePieceTime)
		var results []string
		w.mu.Lock()
		for _, item := range call.Items {
			count++
			handle := fmt.Sprintf("%s/%s-%d", (*r).address(), (*r).id, count)
			w.results[handle] = fmt.Sprintf("%s/%d/%d", item.ID, item.Stage, item.Piece)
			results = append(results, fmt.Sprintf(`{"Handle":%q}`, handle))
		}
		w.mu.Unlock()
		header := http.Header{"Content-Type": {"application/json"}, "Replica-Load": {"0,0,1"}}
		text := responseText("200 OK", header, `{"Items":[`+strings.Join(results, ",")+`]}`)
		if isGarbling && w.shouldGarble() {
			w.record.add("stage replica %s writes its answer with %d results twice", (*r).id, len(results))
			c.late = text
		}
		return c.send(text) == nil
	}
}

// engineHandler returns the handler of an engine: it checks the inputs and answers with a stream.
func (w *stageWork) engineHandler(r **replica) func(*replicaConn, *http.Request, []byte) bool {
	return func(c *replicaConn, request *http.Request, _ []byte) bool {
		id := request.Header.Get("Attempt-Id")
		inputs := strings.Split(request.Header.Get("Inputs"), ",")
		w.mu.Lock()
		w.ran++
		seen := make(map[string]bool)
		var foreign []string
		for _, handle := range inputs {
			made := w.results[handle]
			if owner, _, _ := strings.Cut(made, "/"); owner != id || seen[made] {
				foreign = append(foreign, fmt.Sprintf("%s, made for %q", handle, made))
			}
			seen[made] = true
		}
		if len(foreign) > 0 {
			w.mixed++
		}
		w.mu.Unlock()
		if len(foreign) > 0 {
			w.record.add("engine %s runs request %s with inputs of another request: %s", (*r).id, id, strings.Join(foreign, "; "))
		}
		header := (*r).identityHeader(request)
		header.Set("Content-Type", "text/event-stream")
		time.Sleep(60 * time.Millisecond)
		return c.send(responseText("200 OK", header, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")) == nil
	}
}

func runMixedInputs(s *scene) (isBroken bool, err error) {
	w := &stageWork{record: s.record, results: make(map[string]string)}
	add := func(id, service string, slots int, handler func(**replica) func(*replicaConn, *http.Request, []byte) bool) error {
		var r *replica
		r, err := newReplica(id, service, "v1", "zone-a", slots, func(c *replicaConn, request *http.Request, body []byte) bool { return handler(&r)(c, request, body) })
		if err == nil {
			r.register(s.store)
		}
		return err
	}
	for n := range stageReplicas {
		var once sync.Once
		var h func(*replicaConn, *http.Request, []byte) bool
		handler := func(r **replica) func(*replicaConn, *http.Request, []byte) bool {
			once.Do(func() { h = w.stageHandler(r, n < garbledReplicas) })
			return h
		}
		if err := add(fmt.Sprintf("desk-%d", n), "desk", 1, handler); err != nil {
			return false, err
		}
	}
	for n := range 3 {
		if err := add(fmt.Sprintf("pool-%d", n), "pool", 96, w.engineHandler); err != nil {
			return false, err
		}
	}
	s.store.put("op", "config", map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "digest", "Host": "pool.example", "Prefix": "/digest/", "Kind": "streaming", "TimeoutMs": 8000, "GoalMs": 1400, "GapGoalMs": 250, "Priority": 0,
			"Service": "pool", "MaxAttempts": 1, "Public": false, "Sticky": true, "Resumable": false, "Stages": []any{map[string]any{"Service": "desk", "After": []int{}, "Bytes": 8000}},
		}},
		"Services": []any{
			map[string]any{"Name": "pool", "HealthPath": "/healthz", "MaxConns": 500, "Engine": map[string]any{"Slots": 96}},
			map[string]any{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 500, "Pieces": map[string]any{"Slots": 1, "Queue": 2, "Batch": 14, "CallMs": 150.0, "ItemMs": 9.2, "HeadroomMb": 81.0, "HandleS": 4.0, "LinkMbps": 10000}},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "mill", "ApiKeys": []string{"key-of-mill"}}},
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
		w.mu.Lock()
		w.garbleFrom = startedAt.Add(garbleAt)
		w.mu.Unlock()
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[string]int)
	for n := 0; time.Since(startedAt) < mixedTraffic; n++ {
		clients.Go(func() {
			header := http.Header{
				"Attempt-Id": {fmt.Sprintf("%016x", 0x1000+n)}, "Key": {"key-of-mill"}, "Model": {"m"}, "Token-Counts": {"1460,10"},
				"Prompt-Prefix": {fmt.Sprintf("5c1e07a2:800,%08x:660", 0xa000+n)}, "Pieces": {"1"}, "Piece-Key": {fmt.Sprintf("%012x", 0x77000+n)},
			}
			a := request(s.instances[n%2].front, http.MethodPost, "pool.example", "/digest/2f", header, "{}", 8*time.Second)
			s.record.add("request %016x at %s: status %d, whole %v, took %d ms", 0x1000+n, s.instances[n%2].id, a.status, a.isWhole, a.took.Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			statuses[fmt.Sprintf("%d %v", a.status, a.isWhole)]++
		})
		time.Sleep(time.Second / mixedRequestsPerS)
	}
	clients.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	s.record.add("answers by status and completeness: %v", statuses)
	s.record.add("%d answers of stage replicas were written twice; %d requests ran, %d of them with inputs of another request", w.garbled, w.ran, w.mixed)
	if w.ran == 0 || s.hasTrouble && w.garbled == 0 {
		return false, fmt.Errorf("%d requests ran, %d answers were written twice", w.ran, w.garbled)
	}
	return w.mixed > 0, nil
}
