// Package encoder defines the messages between instances and their format: a length
// prefix of four bytes in big-endian order and a Frame in protobuf. peer.pb.go is
// generated from peer.proto with
//
//	protoc --go_out=. --go_opt=paths=source_relative peer.proto
package encoder

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"oriolemill.example/oriolemill/internal/server"
)

// ProtocolVersion is the version of the format. Frames of another version are refused.
const ProtocolVersion = 1

const (
	// MaxFrameBytes bounds every frame but a response with documents.
	MaxFrameBytes = 64 << 10
	// MaxDocumentsBytes bounds a response with documents.
	MaxDocumentsBytes = 16 << 20
	// LengthPrefixBytes is the size of the length prefix in bytes.
	LengthPrefixBytes = 4
	// readAheadBytes is the memory that is reserved for a frame before its bytes arrive.
	readAheadBytes = 64 << 10
)

// Marshal sets the protocol version of a frame and returns the frame in bytes, with
// its length prefix. It returns ErrInvalid for a frame of more than limit bytes, which
// do not include the prefix.
func Marshal(frame *Frame, limit int) ([]byte, error) {
	frame.Protocol = ProtocolVersion
	size := proto.Size(frame)
	if size > limit {
		return nil, merry.Prependf(server.ErrInvalid, "peer frame of %d bytes exceeds the limit of %d", size, limit)
	}
	data := binary.BigEndian.AppendUint32(make([]byte, 0, LengthPrefixBytes+size), uint32(size))
	return proto.MarshalOptions{}.MarshalAppend(data, frame)
}

// Unmarshal parses a frame without its length prefix. It returns ErrInvalid if data is
// not a frame of this protocol version or the frame has no body.
func Unmarshal(data []byte) (*Frame, error) {
	frame := &Frame{}
	if err := proto.Unmarshal(data, frame); err != nil {
		return nil, merry.Prepend(server.ErrInvalid, err.Error())
	}
	if frame.Protocol != ProtocolVersion {
		return nil, merry.Prependf(server.ErrInvalid, "peer frame has protocol version %d, want %d", frame.Protocol, ProtocolVersion)
	}
	if frame.Body == nil {
		return nil, merry.Prepend(server.ErrInvalid, "peer frame has no body")
	}
	return frame, nil
}

// Read reads one frame of at most limit bytes. It returns ErrInvalid for a longer
// frame, without reading it, and errors of the reader as they are.
func Read(reader io.Reader, limit int) (*Frame, error) {
	var header [LengthPrefixBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if uint64(size) > uint64(limit) {
		return nil, merry.Prependf(server.ErrInvalid, "peer frame of %d bytes exceeds the limit of %d", size, limit)
	}
	// The memory follows what has arrived, not what was announced.
	var data bytes.Buffer
	data.Grow(min(int(size), readAheadBytes))
	if _, err := io.CopyN(&data, reader, int64(size)); errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	} else if err != nil {
		return nil, err
	}
	return Unmarshal(data.Bytes())
}

// Write writes one frame of at most limit bytes in a single call of the writer.
func Write(writer io.Writer, frame *Frame, limit int) error {
	data, err := Marshal(frame, limit)
	if err != nil {
		return err
	}
	_, err = writer.Write(data)
	return err
}
