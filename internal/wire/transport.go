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

// Target identifies a process to connect to.
type Target struct {
	// VM is the name that the peer's certificate must have; "" accepts any process of the fleet.
	VM ident.VM
	// Address is the IP address and UDP port to dial. If it is "", only a connection that the peer has opened can be used.
	Address string
}

// Handler processes incoming messages, calls and faults. Its methods are called from several goroutines.
type Handler interface {
	// Authorize returns an error if a peer with a valid certificate must not connect.
	Authorize(peer Identity) error
	// Receive processes a message. The connection that it arrived on can be used to reply.
	Receive(peer Identity, envelope Envelope, from *Conn)
	// ServeCall serves a call stream. The stream's sending direction is closed when ServeCall returns.
	ServeCall(peer Identity, call *Call)
	// Report records a fault of the transport, such as a refused peer.
	Report(fault Fault)
}

// Fault describes an error on an incoming or dialed connection. Handler.Report receives it.
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
	// FaultHandshake is not reported: a failed handshake of a dial is returned as an error, and that of an incoming
	// connection ends in the QUIC listener.
	FaultHandshake     FaultReason = "handshake"
	FaultMalformed     FaultReason = "malformed-message"
	FaultTooLarge      FaultReason = "message-too-large"
	FaultForeignSender FaultReason = "foreign-sender"
	FaultTruncated     FaultReason = "truncated-message"
)

// Config configures a transport.
type Config struct {
	// Address is the IP address and UDP port to listen on.
	Address string
	// Self is the instance that is sent as the sender of all messages.
	Self ident.Instance
	// Keys holds the certificate for TLS.
	Keys *Keys
	// Codec encodes and decodes all messages that are sent or accepted.
	Codec *Codec
	// MaxMessageBytes is the maximum size of a received message, in bytes.
	MaxMessageBytes int
	// Stamp returns the timeline stamp for a message that is sent now.
	Stamp func() timeline.Stamp
	// Handler processes incoming messages, calls and faults.
	Handler Handler
	// Network opens the UDP socket.
	Network network.Network
	// WrapSocket wraps the UDP socket, for fault injection; nil leaves it as it is.
	WrapSocket func(net.PacketConn) net.PacketConn
}

// ErrNoAddress means that the target's address is unknown and that the target has no open connection to this process.
var ErrNoAddress = errors.New("address unknown and no open connection from the peer")

const (
	idleTimeout      = 20 * time.Second
	handshakeTimeout = 2 * time.Second
	sendTimeout      = 2 * time.Second
	// maxIncomingStreams is the limit per connection and type of stream.
	maxIncomingStreams = 4096
	// streamWindow and connectionWindow bound what is received and not read, in bytes per stream and per connection. A part of an answer, which
	// is the longest message on a stream that waits for memory, fits into a stream's window, and eight such streams leave a connection to the
	// others. 360 connections, the size to design for, hold 360 MiB at most.
	streamWindow     = 128 << 10
	connectionWindow = 1 << 20
	codeRefused      = quic.ApplicationErrorCode(1)
	codeClosed       = quic.ApplicationErrorCode(2)
	codeReset        = quic.StreamErrorCode(1)
)

// Transport sends and receives messages and call streams over one UDP port.
type Transport struct {
	config     Config
	quic       *quic.Transport
	listener   *quic.Listener
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	// closed is set by Close; no connection is dialed after that.
	closed        bool
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64

	mu sync.Mutex
	// conns holds the dialed connections.
	conns map[Target]*pooledConn
	// accepted holds the newest accepted connection of each VM, which is also used for sending.
	accepted map[ident.VM]*quic.Conn
}

// Conn is the connection that a message was received on.
type Conn struct {
	transport *Transport
	conn      *quic.Conn
}

// Address returns the peer's IP address and UDP port.
func (c *Conn) Address() string {
	return c.conn.RemoteAddr().String()
}

// Send sends a message over this connection. It dials no other connection if this one is closed.
func (c *Conn) Send(ctx context.Context, body Message) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return c.transport.sendOver(ctx, c.conn, body)
}

// Traffic counts the bytes of encoded messages that a transport has sent and received, without call streams.
type Traffic struct {
	SentBytes     int64
	ReceivedBytes int64
}

// Listen opens the UDP socket and accepts connections until Close.
func Listen(config Config) (*Transport, error) {
	socket, err := config.Network.ListenPacket(config.Address)
	if err != nil {
		return nil, fmt.Errorf("open the UDP socket for peers: %w", err)
	}
	t := &Transport{config: config, quic: &quic.Transport{Conn: config.wrap(socket)}, conns: map[Target]*pooledConn{}, accepted: map[ident.VM]*quic.Conn{}}
	t.listener, err = t.quic.Listen(config.Keys.serverConfig(), quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("listen for peers: %w", err)
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

		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
	}
}

// Address returns the IP address and UDP port that the transport listens on.
func (t *Transport) Address() string {
	return t.quic.Conn.LocalAddr().String()
}

// Traffic returns the counts since Listen.
func (t *Transport) Traffic() Traffic {
	return Traffic{SentBytes: t.sentBytes.Load(), ReceivedBytes: t.receivedBytes.Load()}
}

// Close closes all connections and waits for the transport's goroutines.
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

// Send sends a message and dials the target if needed. After an error it is unknown whether the message was received; a
// nil error does not mean that it was.
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

// OpenCall opens a call stream and dials the target if needed.
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

// serveStreams accepts the streams of a verified connection until it ends.
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
		err := fmt.Errorf("%w: message from %s on a connection of %s", ErrWrongIdentity, envelope.From.VM, peer.VM)
		t.config.Handler.Report(Fault{Peer: peer, Address: address, Reason: FaultForeignSender, Err: err})
		return
	}
	t.config.Handler.Receive(peer, envelope, &Conn{transport: t, conn: conn})
}
