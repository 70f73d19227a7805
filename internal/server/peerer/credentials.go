package peerer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"oriolemill.example/oriolemill/internal/server"
)

// dnsNamePrefix and the deployment's name form the DNS name in peers' certificates.
const dnsNamePrefix = "oriolemill."

// KeyFiles are the paths of the PEM files for mutual TLS between instances.
type KeyFiles struct {
	// Certificate and Key identify this instance.
	Certificate string
	Key         string
	// Authority holds the certificates of the authorities that sign those of peers.
	Authority string
}

// Credentials are an instance's keys, which may be replaced while it runs. They are
// safe for concurrent use, but only one goroutine at a time may call Reload.
type Credentials struct {
	files        KeyFiles
	dnsName      string
	fileContents [3][]byte
	current      atomic.Pointer[keyMaterial]
}

// keyMaterial is what one reading of the files returned.
type keyMaterial struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// NewCredentials reads the files. A peer must present a certificate that the
// authority signed for the DNS name "oriolemill." plus the deployment's name.
func NewCredentials(files KeyFiles, deployment string) (*Credentials, error) {
	c := &Credentials{files: files, dnsName: dnsNamePrefix + deployment}
	_, err := c.Reload()
	return c, err
}

// Reload reads the files again and reports whether they changed. If it returns an
// error the current keys stay in use. It must not be called concurrently.
func (c *Credentials) Reload() (bool, error) {
	var contents [3][]byte
	for i, path := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		content, err := os.ReadFile(path)
		if err != nil {
			return false, merry.Prepend(err, "read peer keys")
		}
		contents[i] = content
	}
	if c.current.Load() != nil && bytes.Equal(contents[0], c.fileContents[0]) && bytes.Equal(contents[1], c.fileContents[1]) && bytes.Equal(contents[2], c.fileContents[2]) {
		return false, nil
	}
	certificate, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return false, merry.Prepend(err, c.files.Certificate)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(contents[2]) {
		return false, merry.Prependf(server.ErrInvalid, "%s contains no PEM certificate", c.files.Authority)
	}
	c.fileContents = contents
	c.current.Store(&keyMaterial{certificate: certificate, authority: authority})
	return true, nil
}

// clientConfig returns the TLS configuration for a connection that this instance
// opens.
func (c *Credentials) clientConfig() *tls.Config {
	keys := c.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   c.dnsName,
		RootCAs:      keys.authority,
		Certificates: []tls.Certificate{keys.certificate},
	}
}

// serverConfig returns the TLS configuration for a connection that another
// instance opens.
func (c *Credentials) serverConfig() *tls.Config {
	keys := c.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    keys.authority,
		Certificates: []tls.Certificate{keys.certificate},
		// A resumed session would not be checked against a changed authority.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return state.PeerCertificates[0].VerifyHostname(c.dnsName)
		},
	}
}
