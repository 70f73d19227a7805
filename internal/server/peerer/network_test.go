package peerer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"oriolemill.example/oriolemill/internal/server"
	"oriolemill.example/oriolemill/internal/server/controller"
	"oriolemill.example/oriolemill/internal/server/peerer"
	"oriolemill.example/oriolemill/internal/server/peerer/encoder"
	"oriolemill.example/oriolemill/internal/server/ticker"
)

// testAuthority is a certificate authority for tests.
type testAuthority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newTestAuthority(t *testing.T) *testAuthority {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "peers"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(raw)
	is.NoErr(err)
	return &testAuthority{key: key, cert: cert}
}

// writeFiles writes an instance's key files into a folder. The certificate is for the
// DNS name.
func (a *testAuthority) writeFiles(t *testing.T, folder, name string) peerer.KeyFiles {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	is.NoErr(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	files := peerer.KeyFiles{
		Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"), Authority: filepath.Join(folder, "ca.pem"),
	}
	is.NoErr(os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), 0o600))
	is.NoErr(os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	is.NoErr(os.WriteFile(files.Authority, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}), 0o600))
	return files
}

func newCredentials(t *testing.T, a *testAuthority, name string) *peerer.Credentials {
	t.Helper()
	c, err := peerer.NewCredentials(a.writeFiles(t, t.TempDir(), name), "lutvik")
	if err != nil {
		t.Fatalf("credentials cannot be read: %v", err)
	}
	return c
}

func newNetwork(t *testing.T, c *peerer.Credentials) *peerer.Network {
	t.Helper()
	n, err := peerer.NewNetwork("127.0.0.1:0", c)
	if err != nil {
		t.Fatalf("network cannot listen: %v", err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

// frameArrives sends one frame from a to b and reports whether it arrived.
func frameArrives(t *testing.T, a, b *peerer.Network) bool {
	t.Helper()
	arrived := make(chan bool, 1)
	go func() {
		conn, err := b.Accept()
		if err != nil {
			arrived <- false
			return
		}
		_, err = conn.Read()
		arrived <- err == nil
		_ = conn.Close()
	}()
	conn, err := a.Dial(context.Background(), b.Address())
	if err == nil {
		_ = conn.Write(&encoder.Frame{Body: &encoder.Frame_Leaving{Leaving: &encoder.Leaving{}}})
		defer func() { _ = conn.Close() }()
	}
	return <-arrived
}

func TestOnlyTrustedCertificatesAreAccepted(t *testing.T) {
	is := is.New(t)
	trustedAuthority, otherAuthority := newTestAuthority(t), newTestAuthority(t)
	dnsName := "oriolemill.lutvik"
	is.True(frameArrives(t, newNetwork(t, newCredentials(t, trustedAuthority, dnsName)), newNetwork(t, newCredentials(t, trustedAuthority, dnsName))))
	is.True(!frameArrives(t, newNetwork(t, newCredentials(t, otherAuthority, dnsName)), newNetwork(t, newCredentials(t, trustedAuthority, dnsName))))              // certificate of another authority
	is.True(!frameArrives(t, newNetwork(t, newCredentials(t, trustedAuthority, "oriolemill.uwazi")), newNetwork(t, newCredentials(t, trustedAuthority, dnsName)))) // dialer with the name of another deployment
	is.True(!frameArrives(t, newNetwork(t, newCredentials(t, trustedAuthority, dnsName)), newNetwork(t, newCredentials(t, trustedAuthority, "oriolemill.uwazi")))) // listener with the name of another deployment
	is.True(!frameArrives(t, newNetwork(t, nil), newNetwork(t, newCredentials(t, trustedAuthority, dnsName))))                                                     // dialer without TLS
}

func TestChangedKeyFilesAreReloaded(t *testing.T) {
	is := is.New(t)
	oldAuthority, newAuthority := newTestAuthority(t), newTestAuthority(t)
	folder := t.TempDir()
	c, err := peerer.NewCredentials(oldAuthority.writeFiles(t, folder, "oriolemill.lutvik"), "lutvik")
	is.NoErr(err)
	listener := newNetwork(t, c)
	dialer := newNetwork(t, newCredentials(t, newAuthority, "oriolemill.lutvik"))
	is.True(!frameArrives(t, dialer, listener))
	newAuthority.writeFiles(t, folder, "oriolemill.lutvik")
	changed, err := c.Reload()
	is.NoErr(err)
	is.True(changed)
	is.True(frameArrives(t, dialer, listener))
	is.NoErr(os.WriteFile(filepath.Join(folder, "cert.pem"), []byte("broken"), 0o600))
	_, err = c.Reload()
	is.True(err != nil)
	is.True(frameArrives(t, dialer, listener)) // the previous keys stay in use
}

// TestLinkOverMutualTLS checks that two instances of a deployment link over yamux and
// mutual TLS and fetch documents, and that one of another deployment is rejected.
func TestLinkOverMutualTLS(t *testing.T) {
	is := is.New(t)
	ca := newTestAuthority(t)
	timer := ticker.New()
	defer timer.Close()
	var listings []server.Listing
	var peers []*peerer.Peerer
	var controls []*controller.Controller
	for _, self := range []peerer.Self{{Deployment: "lutvik", ID: "a"}, {Deployment: "lutvik", ID: "b"}, {Deployment: "uwazi", ID: "c"}} {
		n := newNetwork(t, newCredentials(t, ca, "oriolemill.lutvik"))
		listings = append(listings, server.Listing{ID: self.ID, Service: "oriolemill", Address: n.Address(), Presence: server.PresenceLive})
		control := controller.New(timer)
		p, err := peerer.New(control, n, self)
		is.NoErr(err)
		p.SetHandlers(&fakeDocuments{}, nil, nil)
		control.Start()
		p.Start()
		defer func() {
			p.Stop()
			control.Stop()
		}()
		peers = append(peers, p)
		controls = append(controls, control)
	}
	for i := range peers {
		controls[i].Post(controller.EventFunc(func() { peers[i].ApplyListings(listings) }))
	}
	for {
		bundle, err := peers[0].FetchBundle(t.Context(), "b", 3)
		if err == nil {
			is.Equal(bundle.Revision.Version, uint64(7))
			break
		}
		time.Sleep(10 * time.Millisecond) // the test's own timeout is the bound
	}
	_, err := peers[0].FetchBundle(t.Context(), "c", 3)
	is.True(err != nil)
}
