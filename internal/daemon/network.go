package daemon

import "net"

// Network provides the listeners and connections of a process. Tests replace it.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(address string) (net.Conn, error)
}

// NewTCPNetwork returns a Network that uses TCP.
func NewTCPNetwork() Network {
	return Network{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial: func(address string) (net.Conn, error) {
			return net.DialTimeout("tcp", address, dialTimeout)
		},
	}
}
