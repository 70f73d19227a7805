package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case joined-versions: the replicas of a service crash one after the other and start again, each
// under the ID that it had, with the new version of their software. Meanwhile the store is down. Each
// event names the version that wrote it, so a client sees whether its stream holds events of two.

const (
	versionStreams = 20 // a second
	// outageAt is when the store goes down, after the start of traffic.
	outageAt   = 5 * time.Second
	outageTime = 8 * time.Second
	// The replicas crash one after the other from firstCrashAt after the start of traffic, and are down
	// for crashTime each, so one of versionReplicas is down at a time.
	versionReplicas = 4
	firstCrashAt    = 5500 * time.Millisecond
	crashInterval   = 1700 * time.Millisecond
	crashTime       = 1500 * time.Millisecond
	versionTraffic  = 14 * time.Second
	// allowedJoined is the number of streams with events of two versions that break no rule.
	allowedJoined = 2
)

// versionServer writes streams whose events name the version of the replica.
type versionServer struct {
	mu sync.Mutex
	// runs holds, by request, what ran it.
	runs map[string][]string
}

func (s *versionServer) handle(r *replica, c *replicaConn, request *http.Request) bool {
	id, version := request.Header.Get("Attempt-Id"), r.currentVersion()
	first := 1
	if last := request.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], fmt.Sprintf("%s %s from event %d", r.id, version, first))
	s.mu.Unlock()
	header := r.identityHeader(request)
	header.Set("Content-Type", "text/event-stream")
	header.Set("Transfer-Encoding", "chunked")
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(&head)
	if c.send(head.String()+"\r\n") != nil {
		return false
	}
	for n := first; n <= streamEvents; n++ {
		select {
		case <-time.After(streamEventGap):
		case <-c.closed:
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: written by %s\n\n", n, version)
		if c.send(fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) != nil {
			return false
		}
	}
	return c.send("0\r\n\r\n") == nil
}

func runJoinedVersions(s *scene) (isBroken bool, err error) {
	server := &versionServer{runs: make(map[string][]string)}
	var replicas []*replica
	for n := range versionReplicas {
		var r *replica
		r, err := newReplica(fmt.Sprintf("pool-%d", n), "pool", "v1", "zone-a", 96, func(c *replicaConn, request *http.Request, _ []byte) bool {
			return server.handle(r, c, request)
		})
		if err != nil {
			return false, err
		}
		r.register(s.store)
		replicas = append(replicas, r)
	}
	s.store.put("op", "config", map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "trend", "Host": "pool.example", "Prefix": "/trend/", "Kind": "streaming", "TimeoutMs": 8000, "GoalMs": 1400, "GapGoalMs": 250, "Priority": 0,
			"Service": "pool", "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true,
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
	var work sync.WaitGroup
	work.Go(func() {
		time.Sleep(outageAt)
		if s.hasTrouble {
			s.record.add("the store answers nothing for %d ms", outageTime.Milliseconds())
			s.store.setDown(outageTime)
		}
	})
	for n, r := range replicas {
		work.Go(func() {
			time.Sleep(firstCrashAt + time.Duration(n)*crashInterval)
			s.record.add("replica %s crashes, and is back in %d ms", r.id, crashTime.Milliseconds())
			r.restart(s.store, crashTime, "v2")
			s.record.add("replica %s is back under the same ID, as v2", r.id)
		})
	}
	var mu sync.Mutex
	var sent, whole, joined int
	for n := 0; time.Since(startedAt) < versionTraffic; n++ {
		target := s.instances[n%2]
		work.Go(func() {
			id := fmt.Sprintf("%016x", 0x1000+n)
			header := http.Header{"Attempt-Id": {id}, "Key": {"key-of-mill"}, "Model": {"m"}, "Token-Counts": {"1460,100"}, "Prompt-Prefix": {fmt.Sprintf("5c1e07a2:800,%08x:600,%08x:60", 0xa000+n, 0xb000+n)}}
			a := request(target.front, http.MethodPost, "pool.example", "/trend/2f", header, "{}", 8*time.Second)
			old, new := strings.Count(a.body, "written by v1"), strings.Count(a.body, "written by v2")
			server.mu.Lock()
			runs := strings.Join(server.runs[id], ", ")
			server.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			sent++
			mark := ""
			if a.isWhole && a.status == http.StatusOK {
				whole++
			}
			if old > 0 && new > 0 {
				joined++
				mark = ", JOINED"
			}
			s.record.add("request %s at %s, run by [%s]: status %d, %d events of v1, %d of v2, whole %v%s", id, target.id, runs, a.status, old, new, a.isWhole, mark)
		})
		time.Sleep(time.Second / versionStreams)
	}
	work.Wait()
	s.record.add("%d streams, %d whole; %d hold events of two software versions", sent, whole, joined)
	if whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return joined > allowedJoined, nil
}
