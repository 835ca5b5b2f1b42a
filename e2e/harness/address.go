package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"
)

const (
	// maxHosts bounds the addresses of one network.
	maxHosts = 250
	// networkAttempts bounds the search for a free network.
	networkAttempts = 50
	// guardHost and guardPort are where a network is reserved.
	reservationHost = 254
	reservationPort = 7999
)

// Network hands out loopback addresses of a /24 network that no other test
// process on the machine uses.
type Network struct {
	prefix      string
	reservation net.Listener
	hosts       int
}

// NewNetwork reserves a network. A listener in it guards it against other test
// processes.
func NewNetwork(ctx context.Context) (*Network, error) {
	for range networkAttempts {
		prefix := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
		var config net.ListenConfig
		reservation, err := config.Listen(ctx, "tcp", fmt.Sprintf("%s.%d:%d", prefix, reservationHost, reservationPort))
		if err == nil {
			return &Network{prefix: prefix, reservation: reservation}, nil
		}
	}
	return nil, ErrAddresses
}

// Next returns an address that was not handed out before.
func (n *Network) Next() (string, error) {
	if n.hosts >= maxHosts {
		return "", eris.Wrap(ErrAddresses, "network is used up")
	}
	n.hosts++
	return fmt.Sprintf("%s.%d", n.prefix, n.hosts), nil
}

// Close gives the network back.
func (n *Network) Close() {
	n.reservation.Close()
}
