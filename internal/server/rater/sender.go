package rater

import (
	"context"
	"sync/atomic"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

// sendTimeout bounds a report to an owner, which may not respond.
const sendTimeout = 150 * time.Millisecond

// Links carries messages to other instances.
type Links interface {
	// Send sends a frame to an instance.
	Send(ctx context.Context, id string, frame *encoder.Frame) error
	// Broadcast sends a frame to all linked instances.
	Broadcast(frame *encoder.Frame)
}

// Sender sends the messages of a Rater.
type Sender struct {
	rater *Rater
	links Links
	stop  func()
	// isSending is set while messages are being sent. What is due meanwhile is sent later.
	isSending atomic.Bool
}

// NewSender returns a Sender that has begun to send. Close must be called once.
func NewSender(timer server.Timer, r *Rater, links Links) *Sender {
	s := &Sender{rater: r, links: links}
	s.stop = timer.Every(ShareInterval, func(now time.Time) {
		if !s.isSending.Swap(true) {
			go s.send(now)
		}
	})
	return s
}

// Close ends the sending.
func (s *Sender) Close() { s.stop() }

// send sends the messages that are due. A report that fails is not repeated: it would be outdated.
func (s *Sender) send(now time.Time) {
	defer s.isSending.Store(false)
	for _, message := range s.rater.TakeMessages(now) {
		if message.To == "" {
			s.links.Broadcast(message.Frame)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		_ = s.links.Send(ctx, message.To, message.Frame)
		cancel()
	}
}
