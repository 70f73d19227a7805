package exchanger_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/dialer"
	"oriolemill.example/oriolemill/internal/server/exchanger"
	"oriolemill.example/oriolemill/internal/server/ticker"
	"oriolemill.example/oriolemill/internal/standin"
)

// callTimeout bounds the wait for a call that succeeds: reports are awaited for a short time only.
const callTimeout = 10 * time.Second

// reportCodec is fakeCodec with reports, which consist of anything.
type reportCodec struct{ fakeCodec }

func (reportCodec) ReportPath() string                { return "/report" }
func (reportCodec) DecodeReport([]byte) (int64, bool) { return 1, true }

func newExchanger(t *testing.T) *exchanger.Exchanger {
	t.Helper()
	timer := ticker.New()
	t.Cleanup(timer.Close)
	d := dialer.New(timer)
	t.Cleanup(d.Close)
	return exchanger.New(d, reportCodec{}, exchanger.WithLimits(timer, nil))
}

// TestResponseWithMalformedHeadIsAnError guards against results, releases and reports that are used though the head of
// the response is malformed.
func TestResponseWithMalformedHeadIsAnError(t *testing.T) {
	is := is.New(t)
	upstream, err := standin.ListenUnframed("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `"handle"`)
	}))
	is.NoErr(err)
	defer upstream.Close()
	x, replica := newExchanger(t), &server.Replica{ID: "i-1", Address: upstream.Address()}
	errReport := errors.New("no report")
	for name, call := range map[string]func() error{
		"pieces": func() error {
			_, err := x.ComputePieces(t.Context(), replica, []server.Piece{{RequestID: "a"}})
			return err
		},
		"release": func() error { return x.ReleaseResults(t.Context(), replica, []string{"a"}) },
		"report": func() error {
			if !x.AskStart(t.Context(), replica).IsAnswered {
				return errReport
			}
			return nil
		},
	} {
		for end := time.Now().Add(callTimeout); call() != nil; time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(end)) // a well-formed response is used
		}
		upstream.EachMalformedHead(func(head string) {
			if call() == nil {
				t.Errorf("%s, %q: no error", name, head)
			}
		})
	}
}

// TestResultsOfAnEarlyResponseAreNotUsed guards against results of a stage call whose connection was reset while the
// call was sent.
func TestResultsOfAnEarlyResponseAreNotUsed(t *testing.T) {
	is := is.New(t)
	upstream, err := standin.ListenEarly("127.0.0.1:0", "HTTP/1.1 200 OK\r\n\r\n"+`"handle"`)
	is.NoErr(err)
	defer upstream.Close()
	x, replica := newExchanger(t), &server.Replica{ID: "i-1", Address: upstream.Address()}
	for range 10 {
		_, err := x.ComputePieces(t.Context(), replica, []server.Piece{{RequestID: strings.Repeat("x", 16<<20)}})
		is.True(errors.Is(err, server.ErrConnectionLost) || errors.Is(err, server.ErrUnavailable))
	}
}
