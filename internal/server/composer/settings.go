package composer

import (
	"net"
	"time"

	"oriolemill.example/oriolemill/internal/server/batcher"
	"oriolemill.example/oriolemill/internal/server/rater"
	"oriolemill.example/oriolemill/internal/server/registrar"
)

// Tables are the names of the store's tables and row that operators and replicas
// write.
type Tables = registrar.TableNames

// Settings are the validated settings of a relaying instance.
type Settings struct {
	// ID is the unique name of the instance.
	ID string
	// Datacentre is the name of the data centre that the instance runs in.
	Datacentre string
	// Regions holds the region of each data centre, and Region is that of the instance. Both are empty if the platform
	// states no regions.
	Regions map[string]string
	Region  string
	// IsFirstStart is set if the whole deployment starts for the first time.
	IsFirstStart bool
	// ClientAddress is the address for client requests, and ReadinessAddress the one
	// for the load balancer's readiness checks; both are host:port.
	ClientAddress, ReadinessAddress string
	// PeerAddress is the address for connections from other instances.
	PeerAddress *net.TCPAddr
	// MetricsPort is the port for metrics, which are served at every path on the IP
	// address of PeerAddress; zero serves none.
	MetricsPort int
	// StoreAddress is the address of the platform's store, host:port.
	StoreAddress string
	// MemoryBytes is the memory that the platform grants the process.
	MemoryBytes int64
	// MaxDescriptors is the number of file descriptors that the platform grants the process; zero if it states none.
	MaxDescriptors int
	// CPUShare is the share of one core, and LinkMbps the network bandwidth in
	// megabits per second, that the instance has.
	CPUShare, LinkMbps float64
	// Shares is the policy by which the throughput of stage services is shared.
	Shares batcher.SharePolicy
	// Returning states for which stage services returning clients use left-over capacity; empty means
	// batcher.ReturningAtPatient.
	Returning batcher.ReturningPolicy
	// Speeds states what the speeds of replicas are learned from; empty means rater.ModeStated.
	Speeds rater.Mode
	// ClientLimits bound what is held for clients.
	ClientLimits ClientLimits
	Tables       Tables
	Bounds       Bounds
}

// Bounds are limits that apply to the whole deployment.
type Bounds struct {
	// GracePeriod is the time within which the process must exit after SIGTERM.
	GracePeriod time.Duration
	// In each RetryWindow, the retries at a service stay below RetryRatio times its
	// requests plus RetrySlack, over all instances.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// In each second, a cold replica gets at most ColdRatio times its rate plus ColdSlack requests, over all instances.
	ColdRatio, ColdSlack float64
}

// sufficientLinkMbps is the bandwidth above which more does not help an owner of
// stage work: ten times what 2,000 pieces per second need.
const sufficientLinkMbps = 100

// CapacityWeight returns how much work the instance can do for other instances, relative
// to theirs: its CPU share, lowered if its bandwidth is below sufficientLinkMbps.
func (s *Settings) CapacityWeight() float64 {
	return s.CPUShare * min(s.LinkMbps, sufficientLinkMbps) / sufficientLinkMbps
}
