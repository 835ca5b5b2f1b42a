package node

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"
)

// ErrListen reports a failure to listen on an address.
var ErrListen = eris.New("node: listen failed")

// Listen opens a TCP listener, with TLS unless t is nil. Errors are ErrListen.
func Listen(address string, t *tls.Config) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, eris.Wrap(ErrListen, err.Error())
	}
	if t != nil {
		return tls.NewListener(ln, t), nil
	}
	return ln, nil
}

// DialSource returns the local address for outgoing connections, so that peers see the
// IP address that this process listens on. It returns nil if the process listens on all
// addresses.
func DialSource(listen string) net.Addr {
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return nil
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}
