package admitter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oriolemill.example/oriolemill/internal/server"
)

func newTestItem(workspace string, share float64, priority server.Priority, deadline int) *item {
	return &item{
		workspace: workspace, share: share, priority: priority, cost: 100 * time.Millisecond,
		deadline: time.Unix(int64(deadline), 0), result: make(chan error, 1), index: -1,
	}
}

func TestQueueOrdersByShareThenDeadline(t *testing.T) {
	is := is.New(t)
	q := &queue{}
	for i := range 300 {
		q.push(newTestItem("large", 1, server.PriorityNormal, 1000-i))
		if i < 60 {
			q.push(newTestItem("small", 2, server.PriorityNormal, 5000+i))
		}
	}
	q.push(newTestItem("large", 1, server.PriorityUrgent, 9000))
	is.Equal(q.pop().priority, server.PriorityUrgent)
	counts := map[string]int{}
	last := map[string]time.Time{}
	for range 60 {
		it := q.pop()
		counts[it.workspace]++
		is.True(!it.deadline.Before(last[it.workspace])) // earliest deadline first within a workspace
		last[it.workspace] = it.deadline
	}
	is.True(counts["small"] >= 38 && counts["small"] <= 42) // two of three items by share
}

// TestQueueReturnsEachItemOnce checks that every pushed item leaves the queue once, by
// pop or by remove, and that no item of a higher priority is waiting when an item is
// popped.
func TestQueueReturnsEachItemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue{}
		waiting := map[*item]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				it := newTestItem(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "workspace")), rapid.Float64Range(0, 9).Draw(t, "share"),
					server.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), rapid.IntRange(0, 50).Draw(t, "deadline"))
				it.cost = time.Duration(rapid.IntRange(1, 5000).Draw(t, "cost")) * time.Millisecond
				q.push(it)
				waiting[it] = true
			case 2:
				it := q.pop()
				if it == nil {
					if len(waiting) != 0 {
						t.Fatalf("pop returned no item while %d are waiting", len(waiting))
					}
					continue
				}
				if !waiting[it] {
					t.Fatal("pop returned an item that is not waiting")
				}
				delete(waiting, it)
				for other := range waiting {
					if other.priority < it.priority {
						t.Fatal("popped an item while one of higher priority is waiting")
					}
				}
			default:
				for it := range waiting {
					if !q.remove(it) || q.remove(it) {
						t.Fatal("remove failed for a waiting item, or succeeded twice")
					}
					delete(waiting, it)
					break
				}
			}
			if q.len() != len(waiting) {
				t.Fatalf("queue has %d items, want %d", q.len(), len(waiting))
			}
		}
	})
}

func TestBacklogAheadIsBoundedByShare(t *testing.T) {
	is := is.New(t)
	q := &queue{}
	for i := range 1000 {
		q.push(newTestItem("large", 1, server.PriorityNormal, i))
	}
	large := q.backlogAhead("large", 1, server.PriorityNormal)
	is.Equal(large, 100*time.Second)
	is.True(q.backlogAhead("small", 1, server.PriorityNormal) <= 200*time.Millisecond) // at most one round
	is.Equal(q.backlogAhead("small", 1, server.PriorityUrgent), time.Duration(0))
}

// BenchmarkQueue measures one pop, one backlogAhead and one push with many waiting
// requests.
func BenchmarkQueue(b *testing.B) {
	for _, size := range []struct{ waiting, workspaces int }{
		{1000, 140}, {10000, 1400}, {100000, 1400}, {10000, 140}, {10000, 10000},
	} {
		b.Run(fmt.Sprintf("waiting=%d/workspaces=%d", size.waiting, size.workspaces), func(b *testing.B) {
			q := &queue{}
			for i := range size.waiting {
				q.push(newTestItem(fmt.Sprint("w", i%size.workspaces), float64(1+i%4), server.Priority(i%3), i*7919%100000))
			}
			b.ResetTimer()
			b.ReportAllocs()
			for range b.N {
				it := q.pop()
				_ = q.backlogAhead(it.workspace, it.share, it.priority)
				q.push(it)
			}
		})
	}
}
