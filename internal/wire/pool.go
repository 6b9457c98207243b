package wire

import (
	"context"
	"fmt"
	"net"

	"github.com/quic-go/quic-go"

	"github.com/bramleyspool/bramleyspool/internal/ident"
)

// pooledConn is a dialed connection, or one that is being dialed.
type pooledConn struct {
	// ready is closed when the dial has ended; conn and err are set before.
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// ReplaceConnection removes the connections to a target from the pool, so that the next Send or OpenCall dials a new
// one. A dial in progress is kept, and the next Send or OpenCall waits for it. A target without an address can't be
// reached until the peer connects again. Streams on the old connection continue until they end or the connection times
// out.
func (t *Transport) ReplaceConnection(target Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.accepted, target.VM)
	pooled := t.conns[target]
	if pooled == nil {
		return
	}
	select {
	case <-pooled.ready:
		delete(t.conns, target)
	default:
	}
}

func (t *Transport) connect(ctx context.Context, target Target) (*quic.Conn, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, fmt.Errorf("connect to %s: %w", target.VM, net.ErrClosed)
	}
	pooled := t.conns[target]
	if pooled != nil && pooled.ended() {
		pooled = nil
	}
	if pooled == nil && t.hasOpenAccepted(target.VM) {
		conn := t.accepted[target.VM]
		t.mu.Unlock()
		return conn, nil
	}
	if pooled == nil && target.Address == "" {
		t.mu.Unlock()
		return nil, fmt.Errorf("connect to %s: %w", target.VM, ErrNoAddress)
	}
	if pooled == nil {
		pooled = &pooledConn{ready: make(chan struct{})}
		t.conns[target] = pooled
		t.goroutines.Add(1)
		go t.dial(target, pooled)
	}
	t.mu.Unlock()
	select {
	case <-pooled.ready:
		return pooled.conn, pooled.err
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to %s: %w", target.VM, ctx.Err())
	}
}

// preferAccepted makes a newly accepted connection of a VM the one that is used for sending. The peer may have opened it
// because it received nothing over the connection that this process dialed.
func (t *Transport) preferAccepted(vm ident.VM, conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted[vm] = conn
	for target, pooled := range t.conns {
		if target.VM != vm {
			continue
		}
		select {
		case <-pooled.ready:
			delete(t.conns, target)
		default:
		}
	}
}

// hasOpenAccepted reports whether an accepted connection of the VM is open, and removes a closed one. The caller holds
// t.mu.
func (t *Transport) hasOpenAccepted(vm ident.VM) bool {
	conn := t.accepted[vm]
	if conn == nil {
		return false
	}
	if conn.Context().Err() != nil {
		delete(t.accepted, vm)
		return false
	}
	return true
}

// hasDialed reports whether the dial has ended with conn. It returns false while the dial is in progress.
func (p *pooledConn) hasDialed(conn *quic.Conn) bool {
	select {
	case <-p.ready:
		return p.conn == conn
	default:
		return false
	}
}

func (p *pooledConn) ended() bool {
	select {
	case <-p.ready:
		return p.err != nil || p.conn.Context().Err() != nil
	default:
		return false
	}
}

func (t *Transport) dial(target Target, pooled *pooledConn) {
	defer t.goroutines.Done()
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := t.dialVerified(ctx, target)
	pooled.conn, pooled.err = conn, err
	close(pooled.ready)
	if err != nil {
		t.removeFailedDial(target, pooled)
		return
	}
	t.goroutines.Add(1)
	go t.serveStreams(conn)
}

func (t *Transport) dialVerified(ctx context.Context, target Target) (*quic.Conn, error) {
	address, err := net.ResolveUDPAddr("udp", target.Address)
	if err != nil {
		return nil, fmt.Errorf("address of %s: %w", target.VM, err)
	}
	conn, err := t.quic.Dial(ctx, address, t.config.Keys.clientConfig(), quicConfig())
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", target.VM, err)
	}
	peer, err := IdentityOf(conn.ConnectionState().TLS.PeerCertificates[0])
	if err == nil && target.VM != "" && peer.VM != target.VM {
		err = fmt.Errorf("%w: expected %s, found %s", ErrWrongIdentity, target.VM, peer.VM)
	}
	if err == nil {
		err = t.config.Handler.Authorize(peer)
	}
	if err != nil {
		t.config.Handler.Report(Fault{Peer: peer, Address: target.Address, Reason: FaultRefusedPeer, Err: err})
		_ = conn.CloseWithError(codeRefused, "refused")
		return nil, err
	}
	return conn, nil
}

func (t *Transport) removeFailedDial(target Target, pooled *pooledConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[target] == pooled {
		delete(t.conns, target)
	}
}

func (t *Transport) dropConn(target Target, conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if pooled := t.conns[target]; pooled != nil && pooled.hasDialed(conn) {
		delete(t.conns, target)
	}
	if t.accepted[target.VM] == conn {
		delete(t.accepted, target.VM)
	}
}
