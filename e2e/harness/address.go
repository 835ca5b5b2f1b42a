package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/rotisserie/eris"
)

const (
	// maxHosts is the maximum number of addresses allocated from one network.
	maxHosts = 250
	// networkAttempts is the number of random networks to try.
	networkAttempts = 50
	// reservationHost and reservationPort form the address of the listener that
	// reserves a network.
	reservationHost = 254
	reservationPort = 7999
)

// Network allocates loopback addresses from a /24 network that no other test
// process on the machine uses.
type Network struct {
	prefix      string
	reservation net.Listener
	hosts       int
}

// NewNetwork reserves a random network. It holds a listener in the network, so that
// other test processes fail to reserve the same one.
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

// Next allocates an address.
func (n *Network) Next() (string, error) {
	if n.hosts >= maxHosts {
		return "", eris.Wrap(ErrAddresses, "all addresses of the network are allocated")
	}
	n.hosts++
	return fmt.Sprintf("%s.%d", n.prefix, n.hosts), nil
}

// Close releases the network.
func (n *Network) Close() {
	n.reservation.Close()
}
