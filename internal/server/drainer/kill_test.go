package drainer_test

import (
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/standin"
)

// startProgram starts "oriolemill serve" without linger time and waits until it is
// ready.
func startProgram(t *testing.T, environment *standin.Environment, callers, operators string) *exec.Cmd {
	t.Helper()
	is := is.New(t)
	path, err := buildProgram()
	is.NoErr(err)
	command := exec.Command(path, "serve", "--id", "i-0", "--datacentre", "sundsvall-a", "--linger", "0s",
		"--callers", callers, "--operators", operators, "--platform", environment.PlatformURL())
	is.NoErr(command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	waitReady(t, operators)
	return command
}

// countClaimed returns the number of orders in state claimed.
func countClaimed(environment *standin.Environment) int {
	count := 0
	for _, row := range environment.Table().Rows("orders", "", 2*orders) {
		if strings.Contains(string(row.Value), `"state":"claimed"`) {
			count++
		}
	}
	return count
}

// TestRestartedInstanceRecoversOrdersOfKilledProcess kills an instance while 50
// orders are in different phases. The restarted instance resolves all of them, since
// the service is fenced and has a status endpoint, and repeated requests succeed.
func TestRestartedInstanceRecoversOrdersOfKilledProcess(t *testing.T) {
	is := is.New(t)
	environment := newSet(t, 0)
	callers, operators := freeAddress(t), freeAddress(t)
	first := startProgram(t, environment, callers, operators)
	l := newRequestLoad(callers)
	l.wait.Add(orders)
	for i := range orders {
		go l.order(i)
	}
	deadline := time.Now().Add(10 * time.Second)
	for countClaimed(environment) < orders/4 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(first.Process.Kill())
	l.wait.Wait()
	left := countClaimed(environment)
	is.True(left > 0) // some orders were interrupted
	next := newRequestLoad(callers)
	startProgram(t, environment, callers, operators)
	deadline = time.Now().Add(30 * time.Second)
	for countClaimed(environment) > 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d orders were left claimed", left)
	is.Equal(countClaimed(environment), 0)
	next.wait.Add(orders)
	for i := range orders {
		go next.order(i)
	}
	next.wait.Wait()
	is.Equal(next.failures, nil) // every repeated request was completed
	for i := range orders {
		is.Equal(environment.Ledger("mill-gateway").Runs("skoghammar", fmt.Sprintf("d-%d", i)), 1)
		row, ok := environment.Table().Row(server.Key{Table: "orders", Row: fmt.Sprintf("skoghammar/d-%d", i)})
		is.True(ok && strings.Contains(string(row.Value), `"state":"done"`))
	}
	is.Equal(readiness(operators), http.StatusOK)
}
