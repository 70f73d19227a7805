package linker_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/linker"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// patience is how long these tests wait for what happens in the background.
const patience = 10 * time.Second

// instance is a linker with the connections that it accepted.
type instance struct {
	*linker.Linker
	socket *net.TCPListener
	timer  *ticker.Ticker
}

func newInstance(t *testing.T, id string, handler linker.Handler) *instance {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	timer := ticker.New()
	self := server.Instance{ID: id, Address: socket.Addr().String(), Born: 1}
	l := linker.New(logr.Discard(), timer, self, socket)
	l.Start(handler)
	t.Cleanup(func() {
		l.Stop()
		timer.Close()
	})
	return &instance{Linker: l, socket: socket.(*net.TCPListener), timer: timer}
}

// echo answers a question for a table with its name.
func echo(_ context.Context, from string, frame *encoder.Frame) *encoder.Frame {
	if frame.GetRows() == nil {
		return nil
	}
	return &encoder.Frame{Body: &encoder.Frame_Table{Table: &encoder.RowsAnswer{
		Known: true, Rows: []*encoder.StoreRow{{Name: from + " " + frame.GetRows().GetTable()}},
	}}}
}

func question(table string) *encoder.Frame {
	return &encoder.Frame{Body: &encoder.Frame_Rows{Rows: &encoder.RowsAsk{Table: table}}}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

func TestManyCallsAtOnceGetTheirOwnAnswers(t *testing.T) {
	is := is.New(t)
	a, b := newInstance(t, "a", echo), newInstance(t, "b", echo)
	members := []server.Instance{a.Self(), b.Self()}
	a.Follow(members)
	b.Follow(members)
	var calls sync.WaitGroup
	for i := range 50 {
		calls.Go(func() {
			table := string(rune('A' + i))
			answer, err := a.Call(context.Background(), "b", question(table))
			is.NoErr(err)
			is.Equal(answer.GetTable().GetRows()[0].GetName(), "a "+table)
		})
	}
	calls.Wait()
}

func TestAllAgreeOnOwners(t *testing.T) {
	is := is.New(t)
	a, b, c := newInstance(t, "a", echo), newInstance(t, "b", echo), newInstance(t, "c", echo)
	members := []server.Instance{a.Self(), b.Self(), c.Self()}
	owned := map[string]int{}
	for _, i := range []*instance{a, b, c} {
		i.Follow(members)
	}
	eventually(t, "all are up", func() bool { return len(a.Up()) == 3 && len(b.Up()) == 3 && len(c.Up()) == 3 })
	for i := range 60 {
		name := "service-" + string(rune('A'+i))
		owned[a.Owner(name)]++
		is.Equal(a.Owner(name), b.Owner(name))
		is.Equal(a.Owner(name), c.Owner(name))
	}
	is.True(owned["a"] > 5 && owned["b"] > 5 && owned["c"] > 5)
	a.Leaving("b")
	for i := range 60 {
		is.True(a.Owner("service-"+string(rune('A'+i))) != "b") // who leaves owns nothing new
	}
}

func TestWeakInstancesOwnNothing(t *testing.T) {
	is := is.New(t)
	a, b, c := newInstance(t, "a", echo), newInstance(t, "b", echo), newInstance(t, "c", echo)
	strong, weak := b.Self(), c.Self()
	strong.Strength, weak.Strength = 0.8, 0.02
	a.Follow([]server.Instance{a.Self(), strong, weak}) // a itself says nothing of its strength
	eventually(t, "all are up", func() bool { return len(a.Up()) == 3 })
	for i := range 20 {
		is.Equal(a.Owner(string(rune('A'+i))), "b")
	}
}

func TestADeadMemberIsDownAndComesBack(t *testing.T) {
	is := is.New(t)
	a, b := newInstance(t, "a", echo), newInstance(t, "b", echo)
	members := []server.Instance{a.Self(), b.Self()}
	a.Follow(members)
	eventually(t, "b is up", func() bool { return len(a.Up()) == 2 })
	b.Stop()
	_, err := a.Call(context.Background(), "b", question("x"))
	is.True(err != nil)
	is.Equal(len(a.Up()), 1)
	again := newInstance(t, "b", echo)
	next := again.Self()
	next.Born = 2
	a.Follow([]server.Instance{a.Self(), next})
	eventually(t, "the new incarnation answers", func() bool {
		_, err := a.Call(context.Background(), "b", question("x"))
		return err == nil
	})
}

// TestASilentMemberIsGivenUp has a member accept and never answer a heartbeat.
func TestASilentMemberIsGivenUp(t *testing.T) {
	is := is.New(t)
	a := newInstance(t, "a", echo)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	silent := server.Instance{ID: "b", Address: socket.Addr().String(), Born: 1}
	a.Follow([]server.Instance{a.Self(), silent})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err = a.Call(ctx, "b", question("x"))
	is.True(err != nil)
	is.NoErr(ctx.Err()) // given up long before
	is.Equal(a.Owner("any"), "a")
}

func TestACallEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	hang := make(chan struct{})
	a := newInstance(t, "a", echo)
	b := newInstance(t, "b", func(context.Context, string, *encoder.Frame) *encoder.Frame {
		<-hang
		return nil
	})
	defer close(hang)
	a.Follow([]server.Instance{a.Self(), b.Self()})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := a.Call(ctx, "b", question("x"))
	is.True(err != nil)
	is.Equal(len(a.Up()), 2) // nothing speaks against b
}
