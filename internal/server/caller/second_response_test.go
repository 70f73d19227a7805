package caller_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/messenger"
	"oriolemill.example/oriolemill/internal/server/caller"
)

// TestStatusOfAnOrderIsNotThatOfAnother guards against the status of one order that is taken for that of the
// next, because the service writes each response a second time when the next request has arrived.
func TestStatusOfAnOrderIsNotThatOfAnother(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				var last string
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, last)
					output, _ := json.Marshal(request.URL.Path)
					body, _ := json.Marshal(messenger.RunAnswer{Workspace: workspace, Output: output, OutputLength: len(output), IsComplete: true})
					last = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					_, _ = io.WriteString(conn, last)
				}
			}()
		}
	}()
	c := caller.New()
	defer c.Close()
	upstream := upstreamAt(listener.Addr().String())
	for n := range 4 {
		key := fmt.Sprint("order-", n)
		answer, err := c.OrderStatus(t.Context(), upstream, workspace, key, 0)
		is.NoErr(err)
		var path string
		is.NoErr(json.Unmarshal(answer.Output, &path))
		is.Equal(path, messenger.PathOrders+workspace+"/"+key)
	}
}
