package daemon

import "net"

// Network is how a process reaches others; tests replace it.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(address string) (net.Conn, error)
}

// NewTCPNetwork returns the network of a real process.
func NewTCPNetwork() Network {
	return Network{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial: func(address string) (net.Conn, error) {
			return net.DialTimeout("tcp", address, dialTimeout)
		},
	}
}
