package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// instance is a process of the project, started with the command of the deploy file.
type instance struct {
	id, zone           string
	front, ready, peer string
	settings, log      string
	command            *exec.Cmd
	exited             chan struct{}
}

// settingsText is the settings file that the platform writes, with the figures of a small site.
const settingsText = `Node: "%[1]s"
Role: "edge"
Class: "edge"
Serves:
  - "edge"
Ip: "127.0.0.1"
Zone: "%[2]s"
Region: "north"
Zones:
  zone-a: "north"
  zone-b: "north"
Listen:
  Front: "%[3]s"
  Ready: "%[4]s"
PortRange:
  - %[5]d
  - %[5]d
Bootstrap: true
Limits:
  CpuShare: 0.4
  Cores: 1
  MemoryMb: 284
  MaxFds: 4100
  LinkMbps: 1000.0
  DiskMb: 0
Discovery: "platform"
Entry: "vip"
HeartbeatMs: 1200
Tolerate:
  Machines: 1
  Zones: 0
  Regions: 0
Bounds:
  SeedLagS: 3
  ReuseAfterS: 2
  ContactMs: 3000
  AckMs: 4000
  CatchupS: 4
  DrainMs: 2000
  GraceS: 8
  LossSlackMs: 200
  ConfigMs: 2000
  RollbackSlackMs: 250
  MaxStretchMs: 5000
  StrictRevoke: false
  RevokeMs: 5000
  RetryBudgetRatio: 0.2
  BudgetWindowS: 10
  BudgetSlack: 58
  RecoveryS: 12
  PassMs: 120
  ReuseWindowS: 10
Platform:
  Addr: "%[6]s"
  form: "table"
  WritesPerS: 400
  ReadsPerS: 2000
  TxMs: 3.0
  PartWritesS: 300
  RowBytes: 65536
  Across: true
  HistoryS: 20
  BlobBytes: 8388608
  BlobMs: 25.0
  BlobMbS: 80.0
`

// The ports of instances lie below those that Linux gives to outgoing connections, one of which could
// take a port otherwise while its instance is being started.
const (
	firstPort = 15000
	portCount = 15000
	portTries = 200
)

// freePorts returns ports of the loopback interface that were free a moment ago.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range portTries {
		if len(ports) == count {
			return ports, nil
		}
		port := firstPort + rand.IntN(portCount)
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, port)
	}
	return nil, fmt.Errorf("no %d free ports from %d on", count, firstPort)
}

// newInstance writes the settings of an instance; start starts it.
func newInstance(folder, id, zone string, s *store) (*instance, error) {
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	local := func(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
	i := &instance{id: id, zone: zone, front: local(ports[0]), ready: local(ports[1]), peer: local(ports[2]), settings: filepath.Join(folder, id+".yaml"), log: filepath.Join(folder, id+".log")}
	text := fmt.Sprintf(settingsText, id, zone, i.front, i.ready, ports[2], s.address())
	return i, os.WriteFile(i.settings, []byte(text), 0o600)
}

// start starts the process as the deploy file says, without the metrics port, which all processes
// of one machine would share.
func (i *instance) start() error {
	out, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.command = exec.Command("target/oriolemill", "edge")
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ORIOLEMILL_SETTINGS=" + i.settings}
	i.command.Stdout, i.command.Stderr = out, out
	// The process ends with this one, however that ends.
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.exited = exited
	go func() {
		_ = i.command.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// waitReady waits until the readiness check passes.
func (i *instance) waitReady(ctx context.Context) error {
	for {
		response, err := http.Get("http://" + i.ready + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-i.exited:
			return fmt.Errorf("%s ended before it was ready: %s", i.id, i.lastLog())
		case <-ctx.Done():
			return fmt.Errorf("%s was not ready in time", i.id)
		}
	}
}

// lastLog returns the end of the log.
func (i *instance) lastLog() string {
	data, _ := os.ReadFile(i.log)
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(lines[max(0, len(lines)-3):], " / ")
}

func (i *instance) signal(s syscall.Signal) { _ = i.command.Process.Signal(s) }

// stop ends the process.
func (i *instance) stop() {
	if i.command == nil || i.command.Process == nil {
		return
	}
	_ = i.command.Process.Signal(syscall.SIGCONT)
	_ = i.command.Process.Kill()
	<-i.exited
}
