package peerer

import (
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

func TestQueueDropsOldestDigestsAndKeepsNewestVersion(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	for v := range uint64(100) {
		q.push(&encoder.Frame{Body: &encoder.Frame_Digest{Digest: &encoder.Digest{Version: v}}})
		q.push(&encoder.Frame{Body: &encoder.Frame_ConfigVersion{ConfigVersion: &encoder.ConfigVersion{Version: v}}})
	}
	q.push(&encoder.Frame{Body: &encoder.Frame_ConfigVersion{ConfigVersion: &encoder.ConfigVersion{Version: 3}}}) // an older version after a newer one
	is.Equal(q.pop().GetConfigVersion().GetVersion(), uint64(99))
	for v := uint64(100 - maxQueuedDigests); v < 100; v++ {
		is.Equal(q.pop().GetDigest().GetVersion(), v)
	}
	is.True(q.pop() == nil)
	is.Equal(q.droppedFrames, uint64(100-maxQueuedDigests))
}
