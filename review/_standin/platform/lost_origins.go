package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case lost-origins: all instances are killed at the same moment and are back a second later. The
// clients take their streams up again. All replicas run one software version and are sound throughout.

const (
	originStreams  = 12 // a second
	originEvents   = 60
	originEventGap = 130 * time.Millisecond
	originDeadline = 12 * time.Second
	killAt         = 9 * time.Second
	// downTime is how long the instances are away.
	downTime = time.Second
	// inTouchAfter is ContactMs: rules with a time bound hold for an instance from then on.
	inTouchAfter  = 3 * time.Second
	originTraffic = 20 * time.Second
	// maxTakeUps and takeUpDelay say how a client takes a stream up whose connection has broken.
	maxTakeUps  = 4
	takeUpDelay = 1600 * time.Millisecond
	// One in brokenEvery clients loses its connection by itself after breakAfter, also with TROUBLE=0.
	brokenEvery = 6
	breakAfter  = 3 * time.Second
	minTakenUp  = 12
)

// originCount counts new streams and those that were taken up, at instances in touch. A stream counts
// once: as going on if it did so at one of its tries there.
type originCount struct {
	mu                    sync.Mutex
	restartedAt, killedAt time.Time
	new, newBegan         int
	// takenUp holds, by stream, whether it went on.
	takenUp map[int]bool
}

// isInTouch reports whether the instances are in touch at a time.
func (c *originCount) isInTouch(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.killedAt.IsZero() || at.Before(c.killedAt):
		return true
	default:
		return !c.restartedAt.IsZero() && at.Sub(c.restartedAt) >= inTouchAfter
	}
}

func originHandler(r **replica) func(*replicaConn, *http.Request, []byte) bool {
	return func(c *replicaConn, request *http.Request, _ []byte) bool {
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
		if c.send(head.String()+"\r\n") != nil {
			return false
		}
		for n := first; n <= originEvents; n++ {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", n)
			if c.send(fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) != nil {
				return false
			}
			select {
			case <-time.After(originEventGap):
			case <-c.closed:
				return false
			}
		}
		return c.send("0\r\n\r\n") == nil
	}
}

func runLostOrigins(s *scene) (isBroken bool, err error) {
	for n := range 3 {
		var r *replica
		r, err := newReplica(fmt.Sprintf("pool-%d", n), "pool", "v1", "zone-a", 96, func(c *replicaConn, request *http.Request, body []byte) bool {
			return originHandler(&r)(c, request, body)
		})
		if err != nil {
			return false, err
		}
		r.register(s.store)
	}
	s.store.put("op", "config", map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "trend", "Host": "pool.example", "Prefix": "/trend/", "Kind": "streaming", "TimeoutMs": 12000, "GoalMs": 1400, "GapGoalMs": 250, "Priority": 0,
			"Service": "pool", "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true,
		}},
		"Services": []any{map[string]any{"Name": "pool", "HealthPath": "/healthz", "MaxConns": 500, "Engine": map[string]any{"Slots": 96}}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "mill", "ApiKeys": []string{"key-of-mill"}}},
	})
	for n, zone := range []string{"zone-a", "zone-b", "zone-b"} {
		if _, err := s.startInstance(fmt.Sprintf("edge-%d", n), zone); err != nil {
			return false, err
		}
	}
	if err := s.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	startedAt := time.Now()
	count := &originCount{takenUp: make(map[int]bool)}
	var work sync.WaitGroup
	var killErr error
	if s.hasTrouble {
		work.Go(func() {
			time.Sleep(killAt)
			s.record.add("all instances are killed")
			count.mu.Lock()
			count.killedAt = time.Now()
			count.mu.Unlock()
			for _, i := range s.instances {
				i.signal(syscall.SIGKILL)
			}
			for _, i := range s.instances {
				<-i.exited
			}
			time.Sleep(downTime)
			for _, i := range s.instances {
				if err := i.start(); err != nil {
					killErr = err
				}
			}
			count.mu.Lock()
			count.restartedAt = time.Now()
			count.mu.Unlock()
			s.record.add("all instances are started again")
		})
	}
	for n := 0; time.Since(startedAt) < originTraffic; n++ {
		work.Go(func() { runOriginClient(s, count, n) })
		time.Sleep(time.Second / originStreams)
	}
	work.Wait()
	if killErr != nil {
		return false, killErr
	}
	count.mu.Lock()
	defer count.mu.Unlock()
	wentOn := 0
	for _, isOn := range count.takenUp {
		if isOn {
			wentOn++
		}
	}
	s.record.add("at instances in touch: %d of %d new streams began; %d of %d streams that were taken up went on", count.newBegan, count.new, wentOn, len(count.takenUp))
	if count.newBegan == 0 {
		return false, fmt.Errorf("no new stream began")
	}
	if len(count.takenUp) < minTakenUp {
		return false, fmt.Errorf("only %d streams were taken up at instances in touch", len(count.takenUp))
	}
	return float64(wentOn)/float64(len(count.takenUp)) < 0.5*float64(count.newBegan)/float64(count.new), nil
}

// runOriginClient requests one stream, and takes it up again while its connection breaks.
func runOriginClient(s *scene, count *originCount, n int) {
	deadline := time.Now().Add(originDeadline)
	lastEvent, began, firstID := 0, "", ""
	for try := 0; try <= maxTakeUps; try++ {
		left := time.Until(deadline)
		if left < 500*time.Millisecond {
			return
		}
		target := s.instances[(n+try)%len(s.instances)]
		firstID = fmt.Sprintf("%012x%04x", 0x1000+n, try)
		header := http.Header{"Attempt-Id": {firstID}, "Key": {"key-of-mill"}, "Model": {"m"}, "Token-Counts": {"1460,300"}, "Prompt-Prefix": {fmt.Sprintf("5c1e07a2:800,%08x:600,%08x:60", 0xa000+n, 0xb000+n)}}
		if lastEvent > 0 {
			header.Set("Last-Event-Id", fmt.Sprint(lastEvent))
			header.Set("Resumes", began)
		}
		sentAt := time.Now()
		isInTouch := count.isInTouch(sentAt)
		limit := left
		if n%brokenEvery == 0 && try == 0 {
			limit = breakAfter
		}
		a := request(target.front, http.MethodPost, "pool.example", "/trend/2f", header, "{}", limit)
		events := strings.Count(a.body, "\n\n")
		count.mu.Lock()
		switch {
		case lastEvent == 0 && isInTouch && a.status != 0:
			count.new++
			if events > 0 {
				count.newBegan++
			}
		case lastEvent > 0 && isInTouch && a.status != 0:
			count.takenUp[n] = count.takenUp[n] || events > 0
		}
		count.mu.Unlock()
		reason := ""
		if a.status >= 300 {
			reason = strings.TrimSpace(a.body)
		}
		s.record.add("stream %d, try %d (%s) at %s after event %d, in touch %v: status %d, %d events, whole %v %s", n, try, firstID, target.id, lastEvent, isInTouch, a.status, events, a.isWhole, reason)
		if events > 0 && began == "" {
			began = firstID
		}
		lastEvent += events
		if a.isWhole && a.status == http.StatusOK {
			return
		}
		time.Sleep(takeUpDelay)
	}
}
