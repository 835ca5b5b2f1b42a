package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// sessionRecorder is a Handler that reports the peers of opened sessions.
type sessionRecorder struct{ up chan fleet.NodeID }

func (r sessionRecorder) SessionUp(s *peer.Session)             { r.up <- s.ID() }
func (sessionRecorder) SessionDown(*peer.Session, error)        {}
func (sessionRecorder) Message(*peer.Session, *peerpb.Envelope) {}
func (sessionRecorder) Stream(_ *peer.Session, st *peer.Stream) { st.Close() }

// certificateAuthority issues certificates and writes them to dir.
type certificateAuthority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newCertificateAuthority(t *testing.T) *certificateAuthority {
	t.Helper()
	a := &certificateAuthority{t: t, dir: t.TempDir(), key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert = a.issue(template, template, a.key, "ca")
	return a
}

// peerTLS issues a certificate for an IP address and returns the server and client
// configurations that use it.
func (a *certificateAuthority) peerTLS(name string, ip net.IP) (server, client *tls.Config) {
	a.t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{ip},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	a.issue(template, a.cert, newKey(a.t), name)
	server, client, err := node.PeerTLS(config.PeerTLS{
		CA: a.path("ca.pem"), Cert: a.path(name + ".pem"), Key: a.path(name + ".key"),
	})
	if err != nil {
		a.t.Fatal(err)
	}
	return server, client
}

func (a *certificateAuthority) path(file string) string { return filepath.Join(a.dir, file) }

// issue signs a certificate for key and writes both to files.
func (a *certificateAuthority) issue(template, parent *x509.Certificate, key *ecdsa.PrivateKey, name string) *x509.Certificate {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert
}

func (a *certificateAuthority) write(file, kind string, der []byte) {
	a.t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(a.path(file), data, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newLocal(id string) *peer.Local {
	return &peer.Local{
		Hello: &peerpb.Hello{
			ProtocolVersion: peer.ProtocolVersion, Id: id, Incarnation: 1, Role: peerpb.Role_ROLE_ROUTER,
		},
		Generation: func() uint64 { return 0 },
		Draining:   func() bool { return false },
	}
}

// connect makes one network dial another and returns the handlers of both.
func connect(t *testing.T, server, client *tls.Config) (accepted, dialed sessionRecorder) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	accepted = sessionRecorder{up: make(chan fleet.NodeID, 8)}
	dialed = sessionRecorder{up: make(chan fleet.NodeID, 8)}
	ln, err := node.Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	a := peer.NewNetwork(newLocal("a"), accepted, zap.NewNop(), server, nil)
	b := peer.NewNetwork(newLocal("b"), dialed, zap.NewNop(), nil, client)
	served := make(chan error, 1)
	go func() { served <- a.Serve(ctx, ln) }()
	b.SetTargets(ctx, []peer.Target{{ID: "a", Address: ln.Addr().String()}})
	t.Cleanup(func() {
		cancel()
		b.Wait()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return accepted, dialed
}

func TestSessionOverTLS(t *testing.T) {
	g := NewWithT(t)
	ca := newCertificateAuthority(t)
	server, _ := ca.peerTLS("a", net.IPv4(127, 0, 0, 1))
	_, client := ca.peerTLS("b", net.IPv4(127, 0, 0, 1))
	accepted, dialed := connect(t, server, client)
	g.Eventually(accepted.up).WithTimeout(5 * time.Second).Should(Receive(Equal(fleet.NodeID("b"))))
	g.Eventually(dialed.up).WithTimeout(5 * time.Second).Should(Receive(Equal(fleet.NodeID("a"))))
}

func TestSessionOverTLSIsRefused(t *testing.T) {
	ca := newCertificateAuthority(t)
	otherCA := newCertificateAuthority(t)
	loopback := net.IPv4(127, 0, 0, 1)
	server, _ := ca.peerTLS("a", loopback)
	otherIPServer, _ := ca.peerTLS("elsewhere", net.IPv4(127, 0, 0, 2))
	_, client := ca.peerTLS("b", loopback)
	_, otherCAClient := otherCA.peerTLS("b", loopback)
	for name, sides := range map[string][2]*tls.Config{
		"client certificate from another CA": {server, otherCAClient},
		"server certificate for another IP":  {otherIPServer, client},
		"client without TLS":                 {server, nil},
		"server without TLS":                 {nil, client},
	} {
		t.Run(name, func(t *testing.T) {
			accepted, dialed := connect(t, sides[0], sides[1])
			g := NewWithT(t)
			g.Consistently(accepted.up).WithTimeout(500 * time.Millisecond).ShouldNot(Receive())
			g.Consistently(dialed.up).WithTimeout(10 * time.Millisecond).ShouldNot(Receive())
		})
	}
}
