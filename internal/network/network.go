// Package network opens the sockets of a process. Tests replace its functions to run whole deployments on a network in
// memory and a fake clock.
package network

import (
	"cmp"
	"context"
	"net"
)

// Network opens sockets. If ListenTCP or ListenUDP is nil, Listen or ListenPacket uses package net. Clients that are given
// a nil DialTCP use a net.Dialer.
type Network struct {
	// ListenTCP listens on an IP address and TCP port. Port 0 selects a free port.
	ListenTCP func(address string) (net.Listener, error)
	// ListenUDP listens on an IP address and UDP port. Port 0 selects a free port.
	ListenUDP func(address string) (net.PacketConn, error)
	// DialTCP opens a TCP connection. The network argument is "tcp", as in net.Dialer.DialContext.
	DialTCP func(ctx context.Context, network, address string) (net.Conn, error)
}

// Listen listens on an IP address and TCP port.
func (n Network) Listen(address string) (net.Listener, error) {
	if n.ListenTCP != nil {
		return n.ListenTCP(address)
	}
	return net.Listen("tcp", address)
}

// ListenPacket listens on an IP address and UDP port.
func (n Network) ListenPacket(address string) (net.PacketConn, error) {
	if n.ListenUDP != nil {
		return n.ListenUDP(address)
	}
	resolved, err := net.ResolveUDPAddr("udp", cmp.Or(address, ":0"))
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", resolved)
}
