package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxyState is what a proxy does with the bytes of connections.
type proxyState struct {
	// delay is added to each piece of data.
	delay time.Duration
	// dropTo and dropFrom lose all data towards the target, or from it.
	dropTo, dropFrom bool
}

// proxy passes TCP connections on and does harm to them.
type proxy struct {
	listener net.Listener
	// about is the name of the process or replica whose connections these are.
	about  string
	target func() string

	mu    sync.Mutex
	state proxyState
	// silenced is the number of the first connection that is not silent.
	silenced, opened int
	conns            map[net.Conn]struct{}
}

// newProxy listens at an address. Target returns where connections lead.
func newProxy(about, address string, target func() string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, about: about, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) close() { _ = p.listener.Close() }

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	target, err := net.DialTimeout("tcp", p.target(), time.Second)
	if err != nil {
		abort(caller)
		return
	}
	defer func() { _ = target.Close() }()
	p.mu.Lock()
	number := p.opened
	p.opened++
	p.conns[caller], p.conns[target] = struct{}{}, struct{}{}
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		p.copy(target, caller, number, func(s proxyState) bool { return s.dropTo })
	}()
	go func() {
		defer cancel()
		p.copy(caller, target, number, func(s proxyState) bool { return s.dropFrom })
	}()
	<-ctx.Done()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, target)
	p.mu.Unlock()
}

// copy passes data on until one side ends. An end without a reset is passed on as such.
func (p *proxy) copy(to, from net.Conn, number int, dropped func(proxyState) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		state, silent := p.state, number < p.silenced
		p.mu.Unlock()
		if n > 0 && !silent && !dropped(state) {
			time.Sleep(state.delay)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			if silent || dropped(state) {
				// The other side hears nothing of the end either.
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
		// A connection that is closed already needs no reset.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) set(state proxyState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// silence makes all present connections silent for good, while new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silenced = p.opened
}

// reset resets all present connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		abort(conn)
	}
}
