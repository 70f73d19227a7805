package composer

import (
	"net"
	"time"

	"oriolemill.example/oriolemill/internal/server/registrar"
)

// Tables names the tables of the store that the operator and replicas write.
type Tables = registrar.Tables

// Settings are a relaying instance's settings after they were checked.
type Settings struct {
	// ID is the instance's unique name.
	ID string
	// Datacentre is where the instance runs.
	Datacentre string
	// Clients and Readiness are addresses, host:port: of clients' requests, and
	// of the balancer's question whether the instance takes them.
	Clients, Readiness string
	// Peers is the address of links between instances.
	Peers *net.TCPAddr
	// Metrics is the port and Path the path that counters are served at; zero
	// serves none.
	Metrics int
	// Store is the address of the platform's store, host:port.
	Store string
	// Memory bounds the process in bytes.
	Memory int64
	// Processor is the instance's part of a core, Link its megabits a second.
	Processor, Link float64
	Tables          Tables
	Bounds          Bounds
}

// Bounds are the times and parts that the deployment holds to.
type Bounds struct {
	// Grace is the time from SIGTERM to the end of the process.
	Grace time.Duration
	// Ratio and Slack bound repeats in each Window, over all instances.
	Ratio, Slack float64
	Window       time.Duration
}

// enoughLink is the link in megabits a second from which more of it does not
// help an owner of stage work: ten times what 2,000 pieces a second take.
const enoughLink = 100

// Strength says how much work for all the instance can do beside its own.
func (s *Settings) Strength() float64 { return s.Processor * min(s.Link, enoughLink) / enoughLink }
