package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
)

// ErrTLS reports invalid or unreadable certificate, key or CA files.
var ErrTLS = eris.New("node: TLS setup failed")

// PeerTLS returns the TLS configurations of the server and the client side of peer
// connections, or nil for plain TCP. Both sides verify each other's certificate against
// the CA.
func PeerTLS(t config.PeerTLS) (server, client *tls.Config, err error) {
	if t.Plaintext {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, nil, eris.Wrap(ErrTLS, err.Error())
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, nil, eris.Wrap(ErrTLS, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, eris.Wrapf(ErrTLS, "%s contains no certificate", t.CA)
	}
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}
	client = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
	}
	return server, client, nil
}

// ServerTLS returns the TLS configuration of a listener, or nil for plain TCP.
func ServerTLS(t config.ServerTLS) (*tls.Config, error) {
	if t.Plaintext {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, eris.Wrap(ErrTLS, err.Error())
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}}, nil
}
