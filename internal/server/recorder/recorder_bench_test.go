package recorder_test

import (
	"io"
	"log/slog"
	"testing"

	"github.com/go-logr/logr"

	"oriolemill.example/oriolemill/internal/server/recorder"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// BenchmarkRequestLine logs lines like those of the relayer for a request.
func BenchmarkRequestLine(b *testing.B) {
	timer := ticker.New()
	defer timer.Close()
	log := logr.FromSlogHandler(slog.NewJSONHandler(recorder.New(io.Discard, timer), nil)).WithValues("instance", "edge-1")
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request", "request", "9c41d07be2a35f68", "route", "r-mgjqnir", "plan", uint64(7), "workspace", "bozi300", "priority", 1, "rank", 5,
			"patience_ms", int64(8000), "service", "huvo11a", "replica", "i-7f3a91c2", "outcome", "answered", "status", 200, "reason", "",
			"attempts", 1, "tries", 1, "took_ms", int64(1100), "staged_ms", int64(800), "stage_ms", "210,300,290", "first_ms", int64(900), "last_event", "24")
	}
}
