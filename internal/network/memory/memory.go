// Package memory implements package network in memory, for tests on a fake clock.
package memory

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"github.com/quic-go/quic-go/testutils/simnet"

	"github.com/bramleyspool/bramleyspool/internal/network"
)

// portBase is the port number before the first one that is assigned to listeners and dialing connections.
const portBase = 20_000

// memory is a network in one process. It holds the TCP listeners by address and delivers UDP packets through a router
// without delay or loss.
type memory struct {
	router simnet.PerfectRouter

	mu        sync.Mutex
	port      int
	listeners map[string]*listener
}

// New returns a new network that is isolated from all others.
func New() network.Network {
	m := &memory{port: portBase, listeners: map[string]*listener{}}
	return network.Network{ListenTCP: m.listenTCP, ListenUDP: m.listenUDP, DialTCP: m.dialTCP}
}

// resolveAddress returns the address to listen on. It replaces port 0 by the next free port number.
func (m *memory) resolveAddress(requested string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(requested)
	if err != nil {
		return parsed, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if parsed.Port() == 0 {
		m.port++
		parsed = netip.AddrPortFrom(parsed.Addr(), uint16(m.port))
	}
	return parsed, nil
}

func (m *memory) listenUDP(address string) (net.PacketConn, error) {
	own, err := m.resolveAddress(address)
	if err != nil {
		return nil, err
	}
	// The router compares IP addresses by their bytes, and resolved addresses have the 16-byte form.
	address16 := &net.UDPAddr{IP: net.IP(own.Addr().AsSlice()).To16(), Port: int(own.Port())}
	return simnet.NewBlockingSimConn(address16, &m.router), nil
}

func (m *memory) listenTCP(address string) (net.Listener, error) {
	own, err := m.resolveAddress(address)
	if err != nil {
		return nil, err
	}
	l := &listener{memory: m, address: net.TCPAddrFromAddrPort(own), conns: make(chan net.Conn), closed: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners[own.String()] != nil {
		return nil, errors.Join(syscall.EADDRINUSE, errors.New(own.String()))
	}
	m.listeners[own.String()] = l
	return l, nil
}

func (m *memory) dialTCP(ctx context.Context, _, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.port++
	from := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: m.port}
	m.mu.Unlock()
	if l == nil {
		return nil, errors.Join(syscall.ECONNREFUSED, errors.New(address))
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.conns <- &conn{Conn: serverEnd, local: l.address, remote: from}:
		return &conn{Conn: clientEnd, local: from, remote: l.address}, nil
	case <-l.closed:
		return nil, errors.Join(syscall.ECONNREFUSED, errors.New(address))
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener is a TCP listener of the network.
type listener struct {
	memory  *memory
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept waits for the next connection. The error is net.ErrClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.conns:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close removes the listener from the network; a blocked Accept returns.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.memory.mu.Lock()
		defer l.memory.mu.Unlock()
		delete(l.memory.listeners, l.address.String())
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.address }

// conn is one end of a connection with its addresses.
type conn struct {
	net.Conn
	local, remote net.Addr
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }
