// Package tunneler passes connections to replicas through other instances. An instance that has lost
// its path to a service opens a connection to one that has a path, and names the replica. The other
// instance, the helper, connects to the replica and copies bytes both ways, without reading requests
// or responses, so that what is sent, and what is known of it, stays with the first instance.
//
// The bytes to the replica are sent as they are. Those from the replica are sent in frames, so that a
// response without a length that ends with its connection differs from one that was cut off. The last
// frame states how many bytes the replica has received: the end of a connection whose request was not
// passed on completely is not that of a whole response.
package tunneler

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// FirstByte is the first byte of a connection to a helper. No other connection between instances
// begins with it.
const FirstByte = 'T'

const (
	// maxRequestBytes bounds a request.
	maxRequestBytes = 4 << 10
	// frameBytes bounds the data in a frame.
	frameBytes = 8 << 10
	// frameHeaderBytes is the size of a frame's header: the number of bytes in it. A frame without
	// bytes is the end of the replica's data.
	frameHeaderBytes = 2
	// countedEnd, in place of the number of bytes in a frame, is the end of the replica's data as well.
	// The number of bytes that the replica has received follows, in countBytes bytes.
	countedEnd = math.MaxUint16
	countBytes = 8
)

// status is the helper's response to a request.
type status byte

const (
	// statusConnected: the replica's data follows.
	statusConnected status = iota
	// statusUnreachable: the helper has a path to the service and does not reach the replica.
	statusUnreachable
	// statusLost: the helper has lost its path too.
	statusLost
	// statusFull: the helper passes on as many connections as it may, or is stopping.
	statusFull
	// statusUnknown: the helper does not know the replica.
	statusUnknown
	// statusFailed: the helper does not reach the replica, and does not know whether it has a path.
	statusFailed
	// statusPaused: the replica has requested a pause from the helper. The rest of it follows, in
	// pauseBytes bytes.
	statusPaused
)

// pauseBytes is the size of the rest of a pause in milliseconds.
const pauseBytes = 4

// statusNames are the names in log lines, in the order of the constants.
var statusNames = [...]string{"connected", "unreachable", "lost", "full", "unknown", "failed", "paused"}

// String returns the name in log lines.
func (s status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "invalid"
}

// request names the replica to connect to.
type request struct {
	Replica string `json:"replica"`
	Address string `json:"address"`
	// PauseMillis is set if no connection is wanted, but the replica has requested a pause on one that
	// the helper passes on. A helper that does not know it opens a connection, which is closed unused.
	PauseMillis int64 `json:"pause,omitempty"`
	// IsCounted is set if the end of the replica's data is to be sent as countedEnd. A helper that does
	// not know it sends a frame without bytes.
	IsCounted bool `json:"counted,omitempty"`
}

// writeRequest sends a request after FirstByte.
func writeRequest(writer io.Writer, r request) error {
	body, err := json.Marshal(r)
	if err != nil {
		return merry.Wrap(err)
	}
	data := append([]byte{FirstByte}, binary.BigEndian.AppendUint16(nil, uint16(len(body)))...)
	_, err = writer.Write(append(data, body...))
	return err
}

// readRequest reads a request whose FirstByte was read.
func readRequest(reader io.Reader) (request, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return request{}, err
	}
	size := binary.BigEndian.Uint16(header[:])
	if size > maxRequestBytes {
		return request{}, merry.Errorf("request of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(reader, body); err != nil {
		return request{}, err
	}
	var r request
	err := json.Unmarshal(body, &r)
	return r, merry.Wrap(err)
}

// copyFrames sends what is read from reader in frames, and the frame that end returns at the end of it.
// If end returns an error, nothing is sent.
func copyFrames(writer io.Writer, reader io.Reader, end func() ([]byte, error)) error {
	buffer := make([]byte, frameHeaderBytes+frameBytes)
	for {
		n, err := reader.Read(buffer[frameHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, writeErr := writer.Write(buffer[:frameHeaderBytes+n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			frame, err := end()
			if err == nil {
				_, err = writer.Write(frame)
			}
			return err
		}
		if err != nil {
			return err
		}
	}
}

// endFrame returns the frame at the end of the data of a replica that has received a number of bytes.
func endFrame(isCounted bool, received uint64) []byte {
	if !isCounted {
		return make([]byte, frameHeaderBytes)
	}
	frame := binary.BigEndian.AppendUint16(nil, countedEnd)
	return binary.BigEndian.AppendUint64(frame, received)
}

// tunnelConn is a connection to a replica through a helper. Reads return what is in the frames.
type tunnelConn struct {
	net.Conn
	reader *bufio.Reader
	// left is the number of bytes of the current frame that were not read yet.
	left     int
	hasEnded bool
	// isCounted is set if the helper has stated, in received, how many bytes the replica has received.
	isCounted bool
	received  uint64
	// written is the number of bytes that were written for the replica.
	written atomic.Uint64
	// reportPause reports a pause of the replica to the helper.
	reportPause func(pause time.Duration)
}

// ReportPause reports to the helper that the replica has requested a pause in a response on the
// connection: for the replica, the helper is the one that it wants no requests from. It does not block.
func (c *tunnelConn) ReportPause(pause time.Duration) { go c.reportPause(pause) }

// Write implements net.Conn.
func (c *tunnelConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(uint64(n))
	return n, err
}

// Read implements net.Conn. It returns io.EOF only at the end that the replica has set.
func (c *tunnelConn) Read(data []byte) (int, error) {
	if len(data) == 0 && !c.hasEnded {
		return 0, nil
	}
	if c.left == 0 && !c.hasEnded {
		if err := c.readHeader(); err != nil {
			return 0, unexpectedEnd(err)
		}
	}
	if c.hasEnded {
		return 0, io.EOF
	}
	n, err := c.reader.Read(data[:min(len(data), c.left)])
	c.left -= n
	if n > 0 {
		return n, nil
	}
	return 0, unexpectedEnd(err)
}

// readHeader reads the header of the next frame, or the end.
func (c *tunnelConn) readHeader() error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return err
	}
	switch size := binary.BigEndian.Uint16(header[:]); size {
	case 0:
		c.hasEnded = true
	case countedEnd:
		var count [countBytes]byte
		if _, err := io.ReadFull(c.reader, count[:]); err != nil {
			return err
		}
		c.received = binary.BigEndian.Uint64(count[:])
		c.hasEnded, c.isCounted = true, true
	default:
		c.left = int(size)
	}
	return nil
}

// CheckEnd implements validator.EndChecker. What a helper of an earlier build sends at the end does not
// show whether the replica has reset its connection.
func (c *tunnelConn) CheckEnd() error {
	written := c.written.Load()
	switch {
	case !c.isCounted:
		return merry.New("the helper does not state what the replica has received")
	case c.received != written:
		return merry.Errorf("the replica has received %d of the %d bytes sent", c.received, written)
	default:
		return nil
	}
}

// unexpectedEnd returns the error for an end of the connection that the replica has not set.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
