package assembler

import (
	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/limiter"
	"oriolemill.example/oriolemill/internal/server/peerer"
)

// The values of PeerSettings.Security.
const (
	// SecurityTLS selects mutual TLS.
	SecurityTLS = "tls"
	// SecurityPlain selects connections without encryption and authentication.
	SecurityPlain = "plain"
)

// PeerSettings are the settings of the connections between instances.
type PeerSettings struct {
	// Deployment is the name of the deployment, the same on all its instances.
	Deployment string
	// Address is the address for connections from peers, host:port; "" means that
	// there are no connections.
	Address string
	// Security is SecurityTLS or SecurityPlain.
	Security string
	// Files are the certificate and keys for mutual TLS; they must be empty if
	// Security is SecurityPlain.
	Files peerer.KeyFiles
}

// validate checks the settings, unless Address is empty. It returns an error if the
// deployment has no name, if all three files are given with SecurityPlain, or if one of
// them is missing with any other value of Security.
func (p PeerSettings) validate() error {
	if p.Address == "" {
		return nil
	}
	if p.Deployment == "" {
		return merry.Prepend(server.ErrInvalid, "peer connections need the deployment's name")
	}
	complete := p.Files.Certificate != "" && p.Files.Key != "" && p.Files.Authority != ""
	if (p.Security == SecurityPlain) == complete {
		return merry.Prepend(server.ErrInvalid, "peer connections need either a certificate, a key and an authority, or the security setting plain without any of these")
	}
	return nil
}

// buildPeerLinks creates the connections to other instances and the limiter that
// shares limits over them.
func (i *Instance) buildPeerLinks(settings Settings) error {
	if err := settings.Peers.validate(); err != nil {
		return err
	}
	if settings.Peers.Address == "" {
		i.limiter = limiter.New(i.id, i.timer, limiter.Standalone(i.id), i.controller.Snapshot, limiter.WithTable(i.table))
		return nil
	}
	var credentials *peerer.Credentials
	var options []peerer.Option
	if settings.Peers.Security != SecurityPlain {
		loaded, err := peerer.NewCredentials(settings.Peers.Files, settings.Peers.Deployment)
		if err != nil {
			return err
		}
		credentials = loaded
		options = append(options, peerer.WithCredentials(credentials))
	}
	network, err := peerer.NewNetwork(settings.Peers.Address, credentials)
	if err != nil {
		return err
	}
	self := peerer.Self{Deployment: settings.Peers.Deployment, ID: i.id, Datacentre: settings.Datacentre}
	i.peerer, err = peerer.New(i.controller, network, self, options...)
	if err != nil {
		return err
	}
	for _, collector := range i.peerer.Collectors() {
		if err := i.meter.Registry().Register(collector); err != nil {
			return merry.Prepend(err, "register metrics")
		}
	}
	i.peerAddress = network.Address()
	i.limiter = limiter.New(i.id, i.timer, i.peerer, i.controller.Snapshot, limiter.WithTable(i.table))
	i.peerer.SetHandlers(i.follower, i.watcher, i.limiter)
	i.follower.SetSource(i.peerer)
	i.watcher.SetPollAssigner(i.peerer)
	return nil
}

// announceStop announces to the other instances that this one stops.
func (i *Instance) announceStop() {
	if i.peerer != nil {
		i.peerer.AnnounceLeaving()
	}
}

// PeerAddress returns the address for connections from peers, host:port, or "" without any.
func (i *Instance) PeerAddress() string { return i.peerAddress }
