package encoder_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// sampleFrames returns frames with the bodies that peers exchange.
func sampleFrames() []*encoder.Frame {
	return []*encoder.Frame{
		{Body: &encoder.Frame_Hello{Hello: &encoder.Hello{Deployment: "lutvik", Instance: "i-1", Incarnation: "x", Datacentre: "umea-c", Version: 7}}},
		{Body: &encoder.Frame_ConfigVersion{ConfigVersion: &encoder.ConfigVersion{Version: 8}}},
		{Body: &encoder.Frame_Digest{Digest: &encoder.Digest{Version: 8, LoadReports: &encoder.LoadReports{UpstreamHashes: []uint32{9}, Running: []uint32{3}, Slots: []uint32{8}}}}},
		{From: "i-1", To: "i-2", Hops: 1, Body: &encoder.Frame_CreditRequest{CreditRequest: &encoder.CreditRequest{Sequence: 1, Limits: []*encoder.LimitRequest{{Limit: "habari", Tokens: 2}}}}},
		{Body: &encoder.Frame_CreditGrant{CreditGrant: &encoder.CreditGrant{Sequence: 1, Limits: []*encoder.LimitGrant{{Limit: "habari", Tokens: 2}}}}},
		{Body: &encoder.Frame_Leaving{Leaving: &encoder.Leaving{}}},
		{Body: &encoder.Frame_DocumentsRequest{DocumentsRequest: &encoder.DocumentsRequest{BaseVersion: 3}}},
		{Body: &encoder.Frame_DocumentsResponse{DocumentsResponse: &encoder.DocumentsResponse{Revision: &encoder.Revision{Version: 4, ChainHash: "c"}, Documents: []*encoder.Document{{Name: "config", Version: 4, Text: "a: b"}}}}},
	}
}

func TestFramesRoundTrip(t *testing.T) {
	is := is.New(t)
	var wire bytes.Buffer
	for _, frame := range sampleFrames() {
		is.NoErr(encoder.Write(&wire, frame, encoder.MaxFrameBytes))
	}
	for _, frame := range sampleFrames() {
		frame.Protocol = encoder.ProtocolVersion
		got, err := encoder.Read(&wire, encoder.MaxFrameBytes)
		is.NoErr(err)
		is.True(proto.Equal(got, frame))
	}
}

func TestOversizedAndForeignFramesAreRejected(t *testing.T) {
	is := is.New(t)
	large := &encoder.Frame{From: strings.Repeat("x", encoder.MaxFrameBytes), Body: &encoder.Frame_Leaving{}}
	is.True(errors.Is(encoder.Write(&bytes.Buffer{}, large, encoder.MaxFrameBytes), server.ErrInvalid))
	header := binary.BigEndian.AppendUint32(nil, encoder.MaxFrameBytes+1)
	_, err := encoder.Read(bytes.NewReader(header), encoder.MaxFrameBytes) // rejected by its length alone
	is.True(errors.Is(err, server.ErrInvalid))
	other, err := proto.Marshal(&encoder.Frame{Protocol: encoder.ProtocolVersion + 1, Body: &encoder.Frame_Leaving{Leaving: &encoder.Leaving{}}})
	is.NoErr(err)
	_, err = encoder.Unmarshal(other)
	is.True(errors.Is(err, server.ErrInvalid)) // another protocol version
}

// FuzzRead checks that arbitrary bytes cause no panic and that every frame read can
// be written and read again.
func FuzzRead(f *testing.F) {
	for _, frame := range sampleFrames() {
		data, err := encoder.Marshal(frame, encoder.MaxFrameBytes)
		if err != nil {
			f.Fatalf("frame %v cannot be written: %v", frame, err)
		}
		f.Add(data)
		f.Add(data[:len(data)-1])
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := encoder.Read(bytes.NewReader(data), encoder.MaxFrameBytes)
		if err != nil {
			return
		}
		secondData, err := encoder.Marshal(frame, encoder.MaxFrameBytes*2)
		if err != nil {
			t.Fatalf("frame %v cannot be written again: %v", frame, err)
		}
		secondFrame, err := encoder.Unmarshal(secondData[encoder.LengthPrefixBytes:])
		if err != nil || !proto.Equal(secondFrame, frame) {
			t.Fatalf("frame %v was read again as %v: %v", frame, secondFrame, err)
		}
	})
}

// TestAnnouncedFramesReserveNoMemory guards against a peer that announces large frames on many streams and sends none: the
// memory for all of them was reserved at once.
func TestAnnouncedFramesReserveNoMemory(t *testing.T) {
	const frames, announcedBytes, maxReserved = 256, 8 << 20, 64 << 20
	is := is.New(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range frames {
		prefix := binary.BigEndian.AppendUint32(nil, announcedBytes)
		_, err := encoder.Read(bytes.NewReader(prefix), announcedBytes)
		is.True(err != nil)
	}
	runtime.ReadMemStats(&after)
	t.Logf("%.1f MB reserved for %d frames", float64(after.TotalAlloc-before.TotalAlloc)/(1<<20), frames)
	is.True(after.TotalAlloc-before.TotalAlloc <= maxReserved)
}
