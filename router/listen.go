package router

import (
	"crypto/tls"
	"net"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/node"
)

// TLS holds the configurations of the router's links; nil ones are plain TCP.
type TLS struct {
	PeerServer *tls.Config
	PeerClient *tls.Config
	Caller     *tls.Config
	Admin      *tls.Config
}

// Listeners are the router's open listeners.
type Listeners struct {
	Caller net.Listener
	Admin  net.Listener
	Peer   net.Listener
}

// Listen opens the listeners that the settings name.
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
