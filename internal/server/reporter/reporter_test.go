package reporter_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/reporter"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

func TestReporterLogsEachChangeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines []string
		log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
		var snapshot atomic.Pointer[server.Snapshot]
		publish := func(version uint64) {
			snapshot.Store(server.NewSnapshot(time.Now(), nil, server.WithDocuments(version, nil, nil)))
		}
		publish(0)
		timer := ticker.New()
		defer timer.Close()
		r := reporter.New(log, timer, snapshot.Load)
		r.Start("127.0.0.1:1", "127.0.0.1:2")
		time.Sleep(time.Minute)
		publish(4)
		time.Sleep(time.Minute)
		publish(5)
		time.Sleep(time.Minute)
		r.BeginDrain()
		synctest.Wait()
		r.Stop(nil)
		want := []string{"started", "ready", "stopping", "stopped"}
		is.Equal(len(lines), len(want))
		for i, word := range want {
			is.True(strings.Contains(lines[i], `"msg"="`+word+`"`))
		}
	})
}
