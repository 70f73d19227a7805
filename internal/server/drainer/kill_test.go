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
func startProgram(t *testing.T, environment *standin.Environment, callerAddress, operatorAddress string) *exec.Cmd {
	t.Helper()
	is := is.New(t)
	path, err := buildProgram()
	is.NoErr(err)
	command := exec.Command(path, "serve", "--id", "i-0", "--datacentre", "sundsvall-a", "--linger", "0s",
		"--callers", callerAddress, "--operators", operatorAddress, "--platform", environment.PlatformURL())
	is.NoErr(command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	waitReady(t, operatorAddress)
	return command
}

// countClaimed returns the number of orders in state claimed.
func countClaimed(environment *standin.Environment) int {
	count := 0
	for _, row := range environment.Platform().Rows("orders", "", 2*orderCount) {
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
	environment := newEnvironment(t, 0)
	callerAddress, operatorAddress := freeAddress(t), freeAddress(t)
	first := startProgram(t, environment, callerAddress, operatorAddress)
	l := newRequestLoad(callerAddress)
	l.group.Add(orderCount)
	for i := range orderCount {
		go l.order(i)
	}
	deadline := time.Now().Add(10 * time.Second)
	for countClaimed(environment) < orderCount/4 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(first.Process.Kill())
	l.group.Wait()
	claimedCount := countClaimed(environment)
	is.True(claimedCount > 0) // some orders were interrupted
	repeatedLoad := newRequestLoad(callerAddress)
	startProgram(t, environment, callerAddress, operatorAddress)
	deadline = time.Now().Add(30 * time.Second)
	for countClaimed(environment) > 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d orders were left claimed", claimedCount)
	is.Equal(countClaimed(environment), 0)
	repeatedLoad.group.Add(orderCount)
	for i := range orderCount {
		go repeatedLoad.order(i)
	}
	repeatedLoad.group.Wait()
	is.Equal(repeatedLoad.failures, nil) // every repeated request was completed
	for i := range orderCount {
		is.Equal(environment.Ledger("mill-gateway").Runs("skoghammar", fmt.Sprintf("d-%d", i)), 1)
		row, ok := environment.Platform().Row(server.Key{Table: "orders", Row: fmt.Sprintf("skoghammar/d-%d", i)})
		is.True(ok && strings.Contains(string(row.Value), `"state":"done"`))
	}
	is.Equal(readiness(operatorAddress), http.StatusOK)
}
