package tunneler_test

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/tunneler"
	"oriolemill.example/oriolemill/internal/validator"
)

// endRepeats is how often a reset is tried: who gets its error depends on the order of writes and reads.
const endRepeats = 10

// upload sends a request on a connection in the background, as the client of a replica does.
func upload(conn net.Conn, bytes int) *validator.Conn {
	checked := validator.NewConn(conn)
	checked.BeginResponse()
	go func() {
		_, err := io.Copy(checked, strings.NewReader(strings.Repeat("x", bytes)))
		checked.EndRequest(err)
	}()
	return checked
}

// Guards against responses that look whole at an instance because the helper, which was sending the request, got the
// error of the replica's reset.
func TestResetDuringTheRequestIsNoEnd(t *testing.T) {
	f := newFleet(t, nil)
	for range endRepeats {
		conn, accepted := f.open(t)
		go func() { _, _ = io.Copy(conn, strings.NewReader(strings.Repeat("x", 16<<20))) }()
		_, err := io.WriteString(accepted, "some of it")
		f.NoErr(err)
		time.Sleep(10 * time.Millisecond) // until the helper waits in a write
		f.NoErr(accepted.(*net.TCPConn).SetLinger(0))
		f.NoErr(accepted.Close())
		_, err = io.ReadAll(conn)
		f.True(err != nil)
	}
}

// Guards against responses that look whole at an instance because the helper sent the end of the replica's data before
// the instance had sent the whole request.
func TestEndBeforeTheWholeRequestIsNoEnd(t *testing.T) {
	f := newFleet(t, nil)
	conn, accepted := f.open(t)
	checked := validator.NewConn(conn)
	checked.BeginResponse()
	_, err := io.WriteString(checked, "first half, ")
	f.NoErr(err)
	_, err = io.ReadFull(accepted, make([]byte, len("first half, ")))
	f.NoErr(err)
	_, err = io.WriteString(accepted, "some of it")
	f.NoErr(err)
	f.NoErr(accepted.Close())
	_, err = io.ReadFull(checked, make([]byte, len("some of it")))
	f.NoErr(err)
	time.AfterFunc(20*time.Millisecond, func() {
		_, err := io.WriteString(checked, "second half")
		checked.EndRequest(err)
	})
	_, err = io.ReadAll(checked)
	f.True(err != nil)
}

// Guards against responses that look whole at an instance because the helper's system took in the request that the
// replica never read.
func TestEndWithAnUnreadRequestIsNoEnd(t *testing.T) {
	f := newFleet(t, nil)
	conn, accepted := f.open(t)
	f.NoErr(accepted.(*net.TCPConn).SetReadBuffer(1))
	checked := upload(conn, 64<<10)
	_, err := io.WriteString(accepted, "some of it")
	f.NoErr(err)
	time.Sleep(20 * time.Millisecond) // until the helper has written the request
	f.NoErr(accepted.(*net.TCPConn).CloseWrite())
	time.AfterFunc(20*time.Millisecond, func() { _ = accepted.Close() }) // resets, as there is unread input
	_, err = io.ReadAll(checked)
	f.True(err != nil)
}

// Guards against whole responses that are taken for broken ones.
func TestEndAfterTheWholeRequestIsPassedOn(t *testing.T) {
	f := newFleet(t, nil)
	for range endRepeats {
		const size = 1 << 20
		conn, accepted := f.open(t)
		checked := upload(conn, size)
		_, err := io.ReadFull(accepted, make([]byte, size))
		f.NoErr(err)
		_, err = io.WriteString(accepted, "all of it")
		f.NoErr(err)
		f.NoErr(accepted.Close())
		data, err := io.ReadAll(checked)
		f.NoErr(err)
		f.Equal(string(data), "all of it")
	}
}

// Guards against responses that look whole because a helper of an earlier build has sent the end of the replica's
// data, which it sends after a reset as well.
func TestEndFromAnEarlierBuildIsNotTrusted(t *testing.T) {
	f := newFleet(t)
	h := listen(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1024))
		_, _ = conn.Write([]byte{0, 0, 3, 'a', 'b', 'c', 0, 0}) // status, a frame, the end
		_, _ = io.Copy(io.Discard, conn)
	})
	f.instances = append(f.instances, server.Instance{ID: "h", Address: h.Addr().String()})
	conn, err := f.client.DialThrough(t.Context(), &f.replica)
	f.NoErr(err)
	checked := upload(conn, 1)
	data, err := io.ReadAll(checked)
	f.Equal(string(data), "abc")
	f.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// Guards against helpers that send an instance of an earlier build what it does not know, or the end of the replica's
// data after a reset.
func TestInstanceOfAnEarlierBuildGetsTheEndItKnows(t *testing.T) {
	f := newFleet(t, nil)
	for range endRepeats {
		for _, isReset := range []bool{false, true} {
			conn := f.openUncounted(t)
			accepted := (<-f.conns).(*net.TCPConn)
			const size = 1 << 20
			go func() { _, _ = io.Copy(conn, strings.NewReader(strings.Repeat("x", size))) }()
			if !isReset {
				_, err := io.ReadFull(accepted, make([]byte, size))
				f.NoErr(err)
			}
			_, err := io.WriteString(accepted, "abc")
			f.NoErr(err)
			if isReset {
				f.NoErr(accepted.SetLinger(0))
			}
			f.NoErr(accepted.Close())
			f.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
			data, _ := io.ReadAll(conn)
			if isReset {
				f.True(!strings.HasSuffix(string(data), "\x00\x00")) // the end is missing
			} else {
				f.Equal(string(data), "\x00\x00\x03abc\x00\x00")
			}
		}
	}
}

// openUncounted opens a connection to the replica in the way of builds that know no countedEnd.
func (f *fleet) openUncounted(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.helpers[0].listener.Addr().String())
	f.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	body, err := json.Marshal(map[string]string{"replica": f.replica.ID, "address": f.replica.Address})
	f.NoErr(err)
	request := append([]byte{tunneler.FirstByte}, binary.BigEndian.AppendUint16(nil, uint16(len(body)))...)
	_, err = conn.Write(append(request, body...))
	f.NoErr(err)
	return conn
}
