package router

import (
	"crypto/tls"
	"net"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/node"
)

// TLS holds the TLS configurations of the router's listeners and of its outgoing
// peer connections. A nil configuration means plain TCP.
type TLS struct {
	PeerServer *tls.Config
	PeerClient *tls.Config
	Caller     *tls.Config
	Admin      *tls.Config
}

// Listeners holds the router's open listeners.
type Listeners struct {
	Caller net.Listener
	Admin  net.Listener
	Peer   net.Listener
}

// Listen opens the listeners at the configured addresses. On an error it leaves
// none open.
func Listen(l config.RouterListen, t TLS) (Listeners, error) {
	var out Listeners
	var err error
	if out.Caller, err = node.Listen(l.Caller, t.Caller); err != nil {
		return out, err
	}
	if out.Admin, err = node.Listen(l.Admin, t.Admin); err != nil {
		out.Caller.Close()
		return out, err
	}
	// Peer connections are wrapped in TLS by peer.Network.
	if out.Peer, err = node.Listen(l.Peer, nil); err != nil {
		out.Caller.Close()
		out.Admin.Close()
		return out, err
	}
	return out, nil
}
