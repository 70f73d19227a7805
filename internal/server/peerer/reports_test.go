package peerer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// TestReportsRoundTrip sends the same reports twice. The upstream's info is sent only
// with the first; the receiver must keep it for the second.
func TestReportsRoundTrip(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	sender := &Peerer{sentInfo: make(map[uint32]upstreamInfo)}
	receiver := &Peerer{receivedInfo: make(map[uint32]upstreamInfo)}
	load := server.Load{ReportedAt: now.Add(-123 * time.Millisecond), Running: 14, Waiting: 300, Slots: 16, PrefillRate: 9000, DecodeRate: 42.5, Models: []string{"m"}, Role: "decode"}
	sender.PublishLoads([]LoadReport{{UpstreamHash: 7, Load: server.Load{ReportedAt: now}}, {UpstreamHash: 9, Load: load, IsLeaving: true}}, nil)
	for round := range 2 {
		encoded := sender.encodeReports(now)
		is.Equal(len(encoded.GetUpstreamInfo()), 1-round)
		reports := receiver.decodeReports(encoded, now)
		is.Equal(len(reports), 2)
		is.Equal(reports[0], LoadReport{UpstreamHash: 7, Load: server.Load{ReportedAt: now}})
		got := reports[1]
		is.True(got.IsLeaving)
		is.True(!got.Load.ReportedAt.After(load.ReportedAt) && load.ReportedAt.Sub(got.Load.ReportedAt) < ageUnit) // rounded up, never newer
		is.True(math.Abs(got.Load.PrefillRate/load.PrefillRate-1) < 0.045)
		is.True(math.Abs(got.Load.DecodeRate/load.DecodeRate-1) < 0.045)
		got.Load.ReportedAt, got.Load.PrefillRate, got.Load.DecodeRate = load.ReportedAt, load.PrefillRate, load.DecodeRate
		is.Equal(got.Load, load)
	}
	short := &encoder.LoadReports{UpstreamHashes: []uint32{1, 2}, Running: []uint32{5}}
	is.Equal(receiver.decodeReports(short, now)[1].Load.Running, 0) // missing items of a list count as zero
}
