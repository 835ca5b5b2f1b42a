package path

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// authority is a CA for the peer connections of a fleet.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(dir string) *authority {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test CA"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	a := &authority{dir: dir, cert: cert, key: key}
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

// issue issues a certificate to a process that listens on address and returns its
// peer TLS settings.
func (a *authority) issue(name, address string) config.PeerTLS {
	GinkgoHelper()
	host, _, err := net.SplitHostPort(address)
	Expect(err).NotTo(HaveOccurred())
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.ParseIP(host)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	return config.PeerTLS{
		CA:   filepath.Join(a.dir, "ca.pem"),
		Cert: a.write(name+".pem", "CERTIFICATE", der),
		Key:  a.write(name+"-key.pem", "PRIVATE KEY", keyDER),
	}
}

// write stores a PEM file in the directory of the CA and returns its path.
func (a *authority) write(name, blockType string, der []byte) string {
	GinkgoHelper()
	path := filepath.Join(a.dir, name)
	block := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	Expect(os.WriteFile(path, block, 0o600)).To(Succeed())
	return path
}

var _ = Describe("a fleet with TLS between its processes", func() {
	It("serves requests and rejects a sidecar with a certificate of another CA", func() {
		ctx, cancel := context.WithTimeout(context.Background(), specTimeout)
		DeferCleanup(cancel)
		own, foreign := newAuthority(GinkgoT().TempDir()), newAuthority(GinkgoT().TempDir())
		shape := harness.Topology{Regions: 1, Routers: 2, Engines: 2, Slots: 2, Teams: 1}
		f, err := harness.NewFleet(ctx, shape.Inventory(), harness.Options{
			EngineArgs: []string{"--token-interval-ms", "1"},
			EditRouter: func(s *config.RouterSettings) { s.TLS.Peer = own.issue(string(s.ID), s.Listen.Peer) },
			EditSidecar: func(s *config.SidecarSettings) {
				issuer := own
				if s.ID == "engine-1-2" {
					issuer = foreign
				}
				s.TLS.Peer = issuer.issue(string(s.ID), s.Listen.Peer)
			},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		Expect(f.Start(ctx)).To(Succeed())
		for _, router := range f.Routers {
			client := f.Client(router, f.Inventory.Teams[0].ID)
			DeferCleanup(client.Close)
			for range 5 {
				req := standin.CompletionRequest{Model: string(harness.ModelService), Prompt: "frost", MaxTokens: 5, Stream: true}
				Expect(harness.VerifyCompletion(req, client.Complete(ctx, req, nil))).To(Succeed())
			}
		}
		counters, err := f.Upstreams[1].Control.EngineCounters(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(counters.Started).To(BeZero())
		Eventually(f.Upstreams[1].Sidecar().Log).Should(ContainSubstring("refused a peer"))
	})
})
