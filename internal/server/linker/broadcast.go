package linker

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
)

const (
	// forwarderCount is the number of leaders that forward the broadcast of an instance.
	forwarderCount = 2
	// everyone is the receiver of a frame that a leader forwards to all members.
	everyone = "*"
	// maxOutboxFrames is the number of broadcast frames that may wait to be sent on a link. On one
	// whose outbox is full further frames are dropped: what was missed is fetched later.
	maxOutboxFrames = 64
	// flushCheckInterval is how often flush checks whether posted frames were sent.
	flushCheckInterval = 5 * time.Millisecond
)

// Broadcast has a frame that has no response sent to all members. Without links to all of them
// it is sent to leaders, which forward it. It dials nobody, waits for no link and ignores errors.
func (l *Linker) Broadcast(frame *encoder.Frame) {
	l.mu.Lock()
	r := l.currentRanking()
	isForwarded := !r.isMesh() && !r.isLeader(l.self.ID)
	links := l.openMemberLinks("")
	if isForwarded {
		links = slices.DeleteFunc(links, func(k *link) bool { return !r.isLeader(k.id) })
	}
	l.mu.Unlock()
	if isForwarded {
		frame = proto.CloneOf(frame)
		frame.To = everyone
	}
	maxReceivers := len(links)
	if isForwarded {
		maxReceivers = forwarderCount
	}
	l.post(links, frame, maxReceivers)
}

// post posts a frame on up to maxReceivers of the links.
func (l *Linker) post(links []*link, frame *encoder.Frame, maxReceivers int) {
	data, err := encoder.Marshal(frame, maxFrameBytes)
	if err != nil {
		l.log.Error(err, "frame for all instances could not be encoded")
		return
	}
	posted := 0
	for _, k := range links {
		if posted == maxReceivers {
			return
		}
		if k.post(data) {
			posted++
		}
	}
}

// openMemberLinks returns the links to members except one. The caller holds mu.
func (l *Linker) openMemberLinks(exceptID string) []*link {
	var links []*link
	for _, m := range l.members {
		if m.link != nil && m.ID != exceptID && !m.link.session.IsClosed() {
			links = append(links, m.link)
		}
	}
	return links
}

// receivedFrom returns the ID of the instance that a frame comes from, which is not the one
// at the other side of the link if a leader forwarded it. It forwards the frame if it is for
// everyone.
func (l *Linker) receivedFrom(linkedID string, frame *encoder.Frame) string {
	switch {
	case frame.GetTo() == everyone:
		forwarded := proto.CloneOf(frame)
		forwarded.From, forwarded.To = linkedID, ""
		l.mu.Lock()
		links := l.openMemberLinks(linkedID)
		l.mu.Unlock()
		l.post(links, forwarded, len(links))
	case frame.GetFrom() != "":
		return frame.GetFrom()
	}
	return linkedID
}

// AnnounceLeaving announces to all linked members that this instance is leaving.
func (l *Linker) AnnounceLeaving() {
	l.mu.Lock()
	l.isLeaving, l.ranking = true, nil
	l.mu.Unlock()
	l.Broadcast(&encoder.Frame{Body: &encoder.Frame_Leaving{Leaving: &encoder.Leaving{}}})
	l.flush(writeTimeout)
}

// flush waits until all posted frames were sent, for timeout at most.
func (l *Linker) flush(timeout time.Duration) {
	deadline := l.timer.Now().Add(timeout)
	for l.hasPostedFrames() && l.timer.Now().Before(deadline) {
		if server.Sleep(l.ctx, l.timer, flushCheckInterval) != nil {
			return
		}
	}
}

func (l *Linker) hasPostedFrames() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.openLinks {
		if k.hasPostedFrames() {
			return true
		}
	}
	return false
}

// post has an encoded frame sent after those that were posted before, without waiting for it. It
// returns false if the link is closing or too many frames wait.
func (k *link) post(data []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isClosing || len(k.outbox) >= maxOutboxFrames {
		return false
	}
	k.outbox = append(k.outbox, data)
	if !k.isSending {
		k.isSending = true
		go k.sendOutbox()
	}
	return true
}

// sendOutbox sends the posted frames until none is left. A broken link is detected by its next call
// or probe, so errors are ignored.
func (k *link) sendOutbox() {
	for {
		k.mu.Lock()
		if len(k.outbox) == 0 || k.isClosing {
			k.outbox, k.isSending = nil, false
			k.mu.Unlock()
			return
		}
		data := k.outbox[0]
		k.outbox = k.outbox[1:]
		k.mu.Unlock()
		_ = k.sendBytes(data)
	}
}

// hasPostedFrames reports whether posted frames are still to be sent.
func (k *link) hasPostedFrames() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isSending
}
