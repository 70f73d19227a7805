package configurer

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"oriolemill.example/oriolemill/internal/server"
)

// TableState is the state of the table at the last read.
type TableState string

// States of the table.
const (
	// TableUnknown means that no read of the table has ended yet.
	TableUnknown TableState = "unknown"
	// TableUp means that the last read succeeded.
	TableUp TableState = "up"
	// TableDown means that the last read failed, for example with a timeout.
	TableDown TableState = "down"
	// TableBehind means that the version in the table is older than the active
	// version.
	TableBehind TableState = "behind"
	// TableForked means that the history in the table differs from that of the
	// active version.
	TableForked TableState = "forked"
	// TableUnreadable means that this program cannot parse a document in the table.
	TableUnreadable TableState = "unreadable"
)

// Status describes the active version of an instance and the state of its
// sources, which are the table and the peers.
type Status struct {
	// Revision is the active revision; zero if there is none yet.
	Revision server.Revision
	// TableState is the state of the table at the last read.
	TableState TableState
	// Reason is why no version is active yet or why a newer version is not
	// applied, or "".
	Reason string
	// NewestKnown is the newest version that was read from the table or announced
	// by a peer.
	NewestKnown uint64
	// AllSourcesReported is set when a read of the table has ended, with or
	// without an error, and the peers have announced their versions or
	// peerReportTimeout has passed.
	AllSourcesReported bool
}

// CheckReady returns nil if a version is active, else an error with the reason.
func (s Status) CheckReady() error {
	if s.Revision.Version > 0 {
		return nil
	}
	return server.NewFault("ready", "", errors.New(s.Reason))
}

// tableStateOf returns the state of the table after a read that returned err.
func tableStateOf(err error) TableState {
	switch {
	case err == nil:
		return TableUp
	case errors.Is(err, ErrBehind):
		return TableBehind
	case errors.Is(err, errForked):
		return TableForked
	case errors.Is(err, errUnreadable):
		return TableUnreadable
	default:
		return TableDown
	}
}

// metrics are the Prometheus metrics of a Follower.
type metrics struct {
	activated *prometheus.CounterVec
	refused   *prometheus.CounterVec
	version   prometheus.Gauge
}

// Values of the label "from".
const (
	fromTable = "table"
	fromPeer  = "peer"
)

func newMetrics() metrics {
	return metrics{
		activated: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_versions_taken_total", Help: "Versions put in force, by where they came from.",
		}, []string{"from"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriolemill_versions_refused_total", Help: "Reads that were refused: older, forked or unreadable. Any rise is an alarm.",
		}, []string{"from", "cause"}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "oriolemill_version_in_force", Help: "The configuration version in force.",
		}),
	}
}

// Collectors returns the metrics of the follower. The caller registers them
// once.
func (f *Follower) Collectors() []prometheus.Collector {
	return []prometheus.Collector{f.metrics.activated, f.metrics.refused, f.metrics.version}
}

// countRefusal counts a read whose documents were refused as older, forked or
// unreadable. Other errors are not counted.
func (f *Follower) countRefusal(from string, err error) {
	switch state := tableStateOf(err); state {
	case TableBehind, TableForked, TableUnreadable:
		f.metrics.refused.WithLabelValues(from, string(state)).Inc()
	default:
	}
}
