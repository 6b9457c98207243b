package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/network"
	"github.com/bramleyspool/bramleyspool/internal/timeline"
)

// Target is a process to connect to.
type Target struct {
	// VM is the expected name; "" accepts any process of the fleet.
	VM ident.VM
	// Address is the IP address and UDP port; "" reaches only a process that has connected.
	Address string
}

// Handler takes what arrives. Its methods are called from several goroutines.
type Handler interface {
	// Authorize decides whether a peer with a valid certificate is let in.
	Authorize(peer Identity) error
	// Receive takes a message. The answer may be sent over the connection that it came over.
	Receive(peer Identity, envelope Envelope, from *Conn)
	// ServeCall serves a call stream until it returns.
	ServeCall(peer Identity, call *Call)
	// Report takes note of a fault of the transport, such as a refused peer.
	Report(fault Fault)
}

// Fault is something that went wrong on the transport.
type Fault struct {
	Peer    Identity
	Address string
	Reason  FaultReason
	Err     error
}

// FaultReason is the kind of a transport fault.
type FaultReason string

// The kinds of transport faults.
const (
	FaultRefusedPeer FaultReason = "refused-peer"
	FaultHandshake   FaultReason = "handshake"
	FaultMalformed   FaultReason = "malformed-message"
	FaultTooLarge    FaultReason = "message-too-large"
	FaultForeign     FaultReason = "foreign-sender"
	FaultTruncated   FaultReason = "truncated-message"
)

// Config sets a transport up.
type Config struct {
	// Address is the IP address and UDP port to listen on.
	Address string
	// Self is the process.
	Self ident.Instance
	Keys *Keys
	// Codec knows all messages.
	Codec *Codec
	// MaxMessageBytes is the greatest accepted size of a message, in bytes.
	MaxMessageBytes int
	// Stamp returns the time line stamp for a message that is sent now.
	Stamp func() timeline.Stamp
	// Handler takes what arrives.
	Handler Handler
	// Network opens the UDP socket.
	Network network.Network
	// WrapSocket may put a layer over the UDP socket, to inject faults; nil puts none.
	WrapSocket func(net.PacketConn) net.PacketConn
}

// ErrNoAddress reports a target whose address is not known and that has not connected.
var ErrNoAddress = errors.New("no address")

const (
	idleTimeout        = 20 * time.Second
	handshakeTimeout   = 2 * time.Second
	sendTimeout        = 2 * time.Second
	maxIncomingStreams = 4096
	codeRefused        = quic.ApplicationErrorCode(1)
	codeClosed         = quic.ApplicationErrorCode(2)
	codeReset          = quic.StreamErrorCode(1)
)

// Transport sends and receives messages and call streams over one UDP port.
type Transport struct {
	config     Config
	quic       *quic.Transport
	listener   *quic.Listener
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	// closed is true once Close was called; no connection is opened after that.
	closed        bool
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64

	mu sync.Mutex
	// conns are the dialed connections.
	conns map[Target]*pooledConn
	// accepted are the newest accepted connections, which also serve to send.
	accepted map[ident.VM]*quic.Conn
}

// Conn is the connection that a message came over.
type Conn struct {
	transport *Transport
	conn      *quic.Conn
}

// Address returns the peer's IP address and UDP port.
func (c *Conn) Address() string {
	return c.conn.RemoteAddr().String()
}

// Send sends a message over this connection only.
func (c *Conn) Send(ctx context.Context, body Message) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return c.transport.sendOver(ctx, c.conn, body)
}

// Traffic counts the message bytes of a transport, without calls.
type Traffic struct {
	SentBytes     int64
	ReceivedBytes int64
}

// Listen opens a transport and takes what arrives until Close.
func Listen(config Config) (*Transport, error) {
	socket, err := config.Network.ListenPacket(config.Address)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	t := &Transport{config: config, quic: &quic.Transport{Conn: config.wrap(socket)}, conns: map[Target]*pooledConn{}, accepted: map[ident.VM]*quic.Conn{}}
	t.listener, err = t.quic.Listen(config.Keys.serverConfig(), quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("peer address: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.stop = cancel
	t.goroutines.Add(1)
	go t.acceptConns(ctx)
	return t, nil
}

func (c *Config) wrap(socket net.PacketConn) net.PacketConn {
	if c.WrapSocket == nil {
		return socket
	}
	return c.WrapSocket(socket)
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIncomingStreams:    maxIncomingStreams,
		MaxIncomingUniStreams: maxIncomingStreams,
	}
}

// Address returns the IP address and UDP port that the transport listens on.
func (t *Transport) Address() string {
	return t.quic.Conn.LocalAddr().String()
}

// Traffic returns the message bytes so far.
func (t *Transport) Traffic() Traffic {
	return Traffic{SentBytes: t.sentBytes.Load(), ReceivedBytes: t.receivedBytes.Load()}
}

// Close ends all connections.
func (t *Transport) Close() {
	t.stop()
	_ = t.listener.Close()
	t.mu.Lock()
	for _, pooled := range t.conns {
		select {
		case <-pooled.ready:
			if pooled.conn != nil {
				_ = pooled.conn.CloseWithError(codeClosed, "closed")
			}
		default:
		}
	}
	t.closed = true
	t.conns = map[Target]*pooledConn{}
	t.mu.Unlock()
	_ = t.quic.Close()
	_ = t.quic.Conn.Close()
	t.goroutines.Wait()
}

// Send sends a message. An error means that it may not have arrived.
func (t *Transport) Send(ctx context.Context, target Target, body Message) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	conn, err := t.connect(ctx, target)
	if err != nil {
		return err
	}
	if err := t.sendOver(ctx, conn, body); err != nil {
		t.dropConn(target, conn)
		return fmt.Errorf("send to %s: %w", target.VM, err)
	}
	return nil
}

func (t *Transport) sendOver(ctx context.Context, conn *quic.Conn, body Message) error {
	data, err := t.config.Codec.Encode(Envelope{From: t.config.Self, Stamp: t.config.Stamp(), Body: body})
	if err != nil {
		return err
	}
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetWriteDeadline(deadline)
	}
	if _, err := stream.Write(data); err != nil {
		stream.CancelWrite(codeReset)
		return err
	}
	t.sentBytes.Add(int64(len(data)))
	return stream.Close()
}

// OpenCall opens a call stream.
func (t *Transport) OpenCall(ctx context.Context, target Target) (*Call, error) {
	conn, err := t.connect(ctx, target)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		t.dropConn(target, conn)
		return nil, fmt.Errorf("call to %s: %w", target.VM, err)
	}
	return t.newCall(stream), nil
}

func (t *Transport) acceptConns(ctx context.Context) {
	defer t.goroutines.Done()
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		t.goroutines.Add(1)
		go t.serveAccepted(conn)
	}
}

func (t *Transport) serveAccepted(conn *quic.Conn) {
	peer, err := IdentityOf(conn.ConnectionState().TLS.PeerCertificates[0])
	if err == nil {
		err = t.config.Handler.Authorize(peer)
	}
	if err != nil {
		t.config.Handler.Report(Fault{Peer: peer, Address: conn.RemoteAddr().String(), Reason: FaultRefusedPeer, Err: err})
		_ = conn.CloseWithError(codeRefused, "refused")
		t.goroutines.Done()
		return
	}
	t.preferAccepted(peer.VM, conn)
	t.serveStreams(conn)
}

// serveStreams takes streams of a verified connection until it ends.
func (t *Transport) serveStreams(conn *quic.Conn) {
	defer t.goroutines.Done()
	peer, err := IdentityOf(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		return
	}
	t.goroutines.Add(1)
	go t.serveCalls(conn, peer)
	for {
		stream, err := conn.AcceptUniStream(conn.Context())
		if err != nil {
			return
		}
		t.goroutines.Add(1)
		go t.receiveMessage(conn, peer, stream)
	}
}

func (t *Transport) serveCalls(conn *quic.Conn, peer Identity) {
	defer t.goroutines.Done()
	for {
		stream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		t.goroutines.Add(1)
		go func() {
			defer t.goroutines.Done()
			call := t.newCall(stream)
			defer call.Close()
			t.config.Handler.ServeCall(peer, call)
		}()
	}
}

func (t *Transport) receiveMessage(conn *quic.Conn, peer Identity, stream *quic.ReceiveStream) {
	defer t.goroutines.Done()
	address := conn.RemoteAddr().String()
	data, err := io.ReadAll(io.LimitReader(stream, int64(t.config.MaxMessageBytes)+1))
	if err != nil {
		t.config.Handler.Report(Fault{Peer: peer, Address: address, Reason: FaultTruncated, Err: err})
		return
	}
	if len(data) > t.config.MaxMessageBytes {
		stream.CancelRead(codeReset)
		t.config.Handler.Report(Fault{Peer: peer, Address: address, Reason: FaultTooLarge, Err: ErrTooLarge})
		return
	}
	t.receivedBytes.Add(int64(len(data)))
	envelope, err := t.config.Codec.Decode(data)
	if err != nil {
		t.config.Handler.Report(Fault{Peer: peer, Address: address, Reason: FaultMalformed, Err: err})
		return
	}
	if envelope.From.VM != peer.VM {
		err := fmt.Errorf("%w: message of %s over a connection of %s", ErrWrongIdentity, envelope.From.VM, peer.VM)
		t.config.Handler.Report(Fault{Peer: peer, Address: address, Reason: FaultForeign, Err: err})
		return
	}
	t.config.Handler.Receive(peer, envelope, &Conn{transport: t, conn: conn})
}
