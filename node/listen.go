package node

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"
)

// ErrListen reports an address that can't be listened on.
var ErrListen = eris.New("node: listen failed")

// Listen opens a TCP listener, with TLS unless t is nil.
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

// DialSource returns the address to dial from so that peers see the address
// that this process listens on, nil if it listens on all addresses.
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
