package client

import "time"

// Status is the status of one instance and its view of the other instances and of
// the upstreams.
type Status struct {
	// ID is the name of the instance.
	ID string `json:"id"`
	// Datacentre is the data centre where the instance runs.
	Datacentre string `json:"datacentre"`
	// Deployment is the deployment name of the configuration in force, or "".
	Deployment string `json:"deployment"`
	// Version is the version in force; zero means none yet.
	Version uint64 `json:"version"`
	// State is "starting", "ready" or "stopping".
	State string `json:"state"`
	// TableState is the last seen state of the table of the platform, with the values of
	// VersionStatus.Table.
	TableState string `json:"table"`
	// TakenAt is the time at which the snapshot of this status was taken.
	TakenAt time.Time `json:"at"`
	// Members lists the other instances, sorted by ID.
	Members []Member `json:"members"`
	// Services lists the upstream services, sorted by name.
	Services []Service `json:"services"`
}

// Member is the view that an instance has of another one.
type Member struct {
	ID         string `json:"id"`
	Datacentre string `json:"datacentre"`
	Address    string `json:"address"`
	// Presence is the presence that the platform lists for the instance.
	Presence string `json:"presence"`
	// IsReachable reports whether the peer connection to the instance is up.
	IsReachable bool `json:"answers"`
	// Version is the version in force that the instance last announced.
	Version uint64 `json:"version"`
}

// Service is an upstream service with its replicas.
type Service struct {
	Name     string    `json:"name"`
	Replicas []Replica `json:"replicas"`
}

// Replica is the view that an instance has of one upstream.
type Replica struct {
	ID         string `json:"id"`
	Datacentre string `json:"datacentre"`
	Address    string `json:"address"`
	// State is "live", "leaving" or "ejected".
	State string `json:"state"`
	// Running and Waiting count requests, Slots is the number that the replica can
	// run at the same time; all are from the last load report.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// ReportAgeMillis is the age of the last load report in milliseconds, or -1 without a
	// report.
	ReportAgeMillis int64 `json:"age_ms"`
	// Inflight, SentAttempts and FailedAttempts count the attempts of this instance
	// alone: those in progress, and since its start those sent and those failed.
	Inflight       int64 `json:"inflight"`
	SentAttempts   int64 `json:"sent"`
	FailedAttempts int64 `json:"failed"`
}
