package encoder_test

import (
	"bytes"
	"fmt"
	"testing"

	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// BenchmarkDigest measures writing and reading one digest about a number of
// upstreams: the cost of a frame to its sender and receiver together.
func BenchmarkDigest(b *testing.B) {
	for _, upstreams := range []int{5, 26, 105} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			values := make([]uint32, upstreams)
			for i := range values {
				values[i] = uint32(i * 7)
			}
			frame := &encoder.Frame{Body: &encoder.Frame_Digest{Digest: &encoder.Digest{
				Version:        1,
				InflightCounts: &encoder.InflightCounts{UpstreamHashes: values, Inflight: values},
				LoadReports:    &encoder.LoadReports{UpstreamHashes: values, Running: values, Waiting: values, Slots: values, AgeCs: values, Inflight: values, PrefillRates: values, DecodeRates: values},
			}}}
			var wire bytes.Buffer
			b.ReportAllocs()
			for b.Loop() {
				wire.Reset()
				if err := encoder.Write(&wire, frame, encoder.MaxFrameBytes); err != nil {
					b.Fatalf("digest cannot be written: %v", err)
				}
				if _, err := encoder.Read(&wire, encoder.MaxFrameBytes); err != nil {
					b.Fatalf("digest cannot be read: %v", err)
				}
			}
		})
	}
}
