package emulator

import (
	"errors"
	"fmt"
	"net"
)

const (
	// networkCount is the number of loopback networks that fleets can claim: 127.1 to 127.254.
	networkCount = 254
	// claimPort has a listener in a network while the network is claimed. The kernel does not assign it as an ephemeral port.
	claimPort = 1025
	// hostsPerBlock is the number of instances with the same third byte in their IP address.
	hostsPerBlock = 250
)

var errNoNetwork = errors.New("all loopback networks are claimed")

// network is a part of the loopback range that no other fleet uses, in this process or in another one, so that the ports
// of an instance are still free when it restarts.
type network struct {
	number int
	claim  net.Listener
}

// Listen opens a listener at an address of the form host:port.
type Listen func(network, address string) (net.Listener, error)

// claimNetwork claims the first free network. It returns errNoNetwork if all are claimed.
func claimNetwork(listen Listen) (*network, error) {
	for number := 1; number <= networkCount; number++ {
		claim, err := listen("tcp4", fmt.Sprintf("127.%d.0.1:%d", number, claimPort))
		if err == nil {
			return &network{number: number, claim: claim}, nil
		}
	}
	return nil, errNoNetwork
}

// ip returns the IP address of an instance.
func (ne *network) ip(instance int) string {
	return fmt.Sprintf("127.%d.%d.%d", ne.number, 1+instance/hostsPerBlock, 1+instance%hostsPerBlock)
}

// linkHost returns the IP address of links to targets; no instance has it.
func (ne *network) linkHost() string { return fmt.Sprintf("127.%d.0.2", ne.number) }

// release frees the network for other fleets.
func (ne *network) release() { _ = ne.claim.Close() }
