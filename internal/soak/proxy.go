package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxyState is the network fault that a proxy applies to its connections; the zero value is none.
type proxyState struct {
	// delay is added to each chunk of data.
	delay time.Duration
	// dropToTarget and dropFromTarget discard all data sent to the target, or by it.
	dropToTarget, dropFromTarget bool
}

// proxy forwards TCP connections and applies network faults to them.
type proxy struct {
	address string
	// name is the name of the process or replica whose connections are forwarded.
	name string
	// target returns the address that new connections are forwarded to.
	target func() string

	mu       sync.Mutex
	listener net.Listener
	state    proxyState
	// Connections are numbered from 0. All data of those below blackholedBelow is discarded.
	blackholedBelow, nextNumber int
	// ended is true after end.
	ended bool
	// conns are both sides of the open connections.
	conns map[net.Conn]struct{}
}

// newProxy returns a proxy that listens on an address.
func newProxy(name, address string, target func() string) (*proxy, error) {
	p := &proxy{address: address, name: name, target: target, conns: map[net.Conn]struct{}{}}
	if err := p.listen(); err != nil {
		return nil, err
	}
	return p, nil
}

// listen opens the listener, unless the proxy has ended.
func (p *proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// end closes the listener for good. A replica that restarts after the end of its soak would otherwise take an address that
// the next soak uses.
func (p *proxy) end() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.close()
}

// close closes the listener, so that new connections are refused.
func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve forwards a connection that an entry or agent has opened.
func (p *proxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	target, err := net.DialTimeout("tcp", p.target(), time.Second)
	if err != nil {
		abort(client)
		return
	}
	defer func() { _ = target.Close() }()
	p.mu.Lock()
	number := p.nextNumber
	p.nextNumber++
	p.conns[client], p.conns[target] = struct{}{}, struct{}{}
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		p.copy(target, client, number, func(s proxyState) bool { return s.dropToTarget })
	}()
	go func() {
		defer cancel()
		p.copy(client, target, number, func(s proxyState) bool { return s.dropFromTarget })
	}()
	<-ctx.Done()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, target)
	p.mu.Unlock()
}

// copy forwards data in one direction until one side closes. Once data was discarded, all further data is: TCP never
// delivers bytes behind a gap. If a side resets the connection, copy resets the other side
// too; at the end of the stream it does not.
func (p *proxy) copy(to, from net.Conn, number int, dropped func(proxyState) bool) {
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		state, blackholed := p.state, number < p.blackholedBelow
		p.mu.Unlock()
		lost = lost || n > 0 && (blackholed || dropped(state))
		if n > 0 && !lost {
			time.Sleep(state.delay)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			if lost || blackholed || dropped(state) {
				// While data is discarded, the end of the connection is forwarded late, so that the other side does not
				// detect it at once.
				time.Sleep(2 * time.Second)
			}
			if !errors.Is(err, io.EOF) {
				abort(to)
			}
			return
		}
	}
}

// abort resets a connection.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The error is ignored: the connection may already be closed.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// setState sets the fault for all connections, open and new.
func (p *proxy) setState(state proxyState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// blackholeConnections discards all further data of the connections that are open now. New connections are unaffected.
func (p *proxy) blackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholedBelow = p.nextNumber
}

// resetConnections resets all open connections.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		abort(conn)
	}
}
