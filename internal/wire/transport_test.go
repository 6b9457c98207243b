package wire_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/ident"
	"github.com/bramleyspool/bramleyspool/internal/timeline"
	"github.com/bramleyspool/bramleyspool/internal/wire"
)

const (
	textMessageKind  wire.Kind = 1
	unregisteredKind wire.Kind = 2
	maxMessageBytes            = 4096
	identityValidity           = time.Hour
)

type textMessage struct {
	Text string `cbor:"1,keyasint"`
}

// unregisteredMessage is registered with the sender's codec only.
type unregisteredMessage struct {
	Text string `cbor:"1,keyasint"`
}

type recordingHandler struct {
	authorizeErr error
	messages     chan wire.Envelope
	faults       chan wire.Fault
	serve        func(call *wire.Call)
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{messages: make(chan wire.Envelope, 64), faults: make(chan wire.Fault, 64)}
}

func (r *recordingHandler) Authorize(wire.Identity) error { return r.authorizeErr }
func (r *recordingHandler) Receive(_ wire.Identity, envelope wire.Envelope, _ *wire.Conn) {
	r.messages <- envelope
}
func (r *recordingHandler) ServeCall(_ wire.Identity, call *wire.Call) { r.serve(call) }
func (r *recordingHandler) Report(fault wire.Fault)                    { r.faults <- fault }

type fixture struct {
	c         *qt.C
	authority *wire.Authority
	// wrap wraps the socket of the next transport; nil leaves it as it is.
	wrap func(net.PacketConn) net.PacketConn
}

func newFixture(t *testing.T) *fixture {
	c := qt.New(t)
	authority, err := wire.NewAuthority(time.Now(), identityValidity)
	c.Assert(err, qt.IsNil)
	return &fixture{c: c, authority: authority}
}

func (f *fixture) keys(vm ident.VM) *wire.Keys {
	pair, err := f.authority.Issue(wire.Identity{Role: "entry", Zone: "zone-a", VM: vm}, time.Now(), identityValidity)
	f.c.Assert(err, qt.IsNil)
	keys, err := wire.NewKeys(pair)
	f.c.Assert(err, qt.IsNil)
	return keys
}

func (f *fixture) listenOver(vm ident.VM, keys *wire.Keys, handler wire.Handler, wrap func(net.PacketConn) net.PacketConn) *wire.Transport {
	f.wrap = wrap
	defer func() { f.wrap = nil }()
	return f.listen(vm, keys, handler, true)
}

func (f *fixture) listen(vm ident.VM, keys *wire.Keys, handler wire.Handler, registerAll bool) *wire.Transport {
	codec, err := wire.NewCodec()
	f.c.Assert(err, qt.IsNil)
	wire.Register[textMessage](codec, textMessageKind)
	if registerAll {
		wire.Register[unregisteredMessage](codec, unregisteredKind)
	}
	transport, err := wire.Listen(wire.Config{
		Address:         "127.0.0.1:0",
		Self:            ident.Instance{VM: vm, Incarnation: 1},
		Keys:            keys,
		Codec:           codec,
		MaxMessageBytes: maxMessageBytes,
		Stamp:           func() timeline.Stamp { return timeline.Stamp{} },
		Handler:         handler,
		WrapSocket:      f.wrap,
	})
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(transport.Close)
	return transport
}

// TestMessagesAndCallsAreDelivered checks that a message arrives with its sender, that both directions of a call carry
// messages, and that Close ends the peer's Read with io.EOF.
func TestMessagesAndCallsAreDelivered(t *testing.T) {
	f := newFixture(t)
	receiver := newRecordingHandler()
	receiver.serve = func(call *wire.Call) {
		for {
			envelope, err := call.Read()
			if err != nil {
				return
			}
			_ = call.Write(envelope.Body)
		}
	}
	b := f.listen("b", f.keys("b"), receiver, false)
	a := f.listen("a", f.keys("a"), newRecordingHandler(), true)
	target := wire.Target{VM: "b", Address: b.Address()}

	f.c.Assert(a.Send(context.Background(), target, &textMessage{Text: "hello"}), qt.IsNil)
	envelope := <-receiver.messages
	f.c.Assert(envelope.From, qt.Equals, ident.Instance{VM: "a", Incarnation: 1})
	f.c.Assert(envelope.Body, qt.DeepEquals, &textMessage{Text: "hello"})

	call, err := a.OpenCall(context.Background(), target)
	f.c.Assert(err, qt.IsNil)
	for _, text := range []string{"one", "two"} {
		f.c.Assert(call.Write(&textMessage{Text: text}), qt.IsNil)
		answer, err := call.Read()
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(answer.Body, qt.DeepEquals, &textMessage{Text: text})
	}
	call.Close()
	_, err = call.Read()
	f.c.Assert(err, qt.ErrorIs, io.EOF)
}

// An invalid message must be reported to the handler. It must not close the connection or stop later messages.
func TestInvalidMessagesAreReportedAndTheConnectionStaysUsable(t *testing.T) {
	cases := []struct {
		name   string
		send   func(a *wire.Transport, target wire.Target) error
		reason wire.FaultReason
	}{
		{"unknown kind", func(a *wire.Transport, target wire.Target) error {
			return a.Send(context.Background(), target, &unregisteredMessage{Text: "x"})
		}, wire.FaultMalformed},
		{"oversized", func(a *wire.Transport, target wire.Target) error {
			return a.Send(context.Background(), target, &textMessage{Text: string(make([]byte, 2*maxMessageBytes))})
		}, wire.FaultTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			receiver := newRecordingHandler()
			b := f.listen("b", f.keys("b"), receiver, false)
			a := f.listen("a", f.keys("a"), newRecordingHandler(), true)
			target := wire.Target{VM: "b", Address: b.Address()}
			_ = tc.send(a, target)
			f.c.Assert((<-receiver.faults).Reason, qt.Equals, tc.reason)
			f.c.Assert(a.Send(context.Background(), target, &textMessage{Text: "after"}), qt.IsNil)
			f.c.Assert((<-receiver.messages).Body, qt.DeepEquals, &textMessage{Text: "after"})
		})
	}
}

// TestUnauthorizedPeersAreRejected guards against messages from peers with a certificate of another authority, the
// certificate of another VM, a sender name that differs from the certificate, or without authorization by the handler.
func TestUnauthorizedPeersAreRejected(t *testing.T) {
	otherFleet := newFixture(t)
	f := newFixture(t)
	receiver := newRecordingHandler()
	b := f.listen("b", f.keys("b"), receiver, false)
	send := func(from *wire.Transport, vm ident.VM) error {
		return from.Send(context.Background(), wire.Target{VM: vm, Address: b.Address()}, &textMessage{Text: "x"})
	}

	t.Run("key of another authority", func(t *testing.T) {
		a := f.listen("a", otherFleet.keys("a"), newRecordingHandler(), true)
		qt.Assert(t, send(a, "b"), qt.IsNotNil)
	})
	t.Run("certificate of another VM", func(t *testing.T) {
		sender := newRecordingHandler()
		a := f.listen("a", f.keys("a"), sender, true)
		qt.Assert(t, send(a, "c"), qt.ErrorIs, wire.ErrWrongIdentity)
		qt.Assert(t, (<-sender.faults).Reason, qt.Equals, wire.FaultRefusedPeer)
	})
	t.Run("sender name differs from the certificate", func(t *testing.T) {
		a := f.listen("a", f.keys("d"), newRecordingHandler(), true)
		qt.Assert(t, send(a, "b"), qt.IsNil)
		qt.Assert(t, (<-receiver.faults).Reason, qt.Equals, wire.FaultForeignSender)
	})
	t.Run("rejected by the handler", func(t *testing.T) {
		rejecting := newRecordingHandler()
		rejecting.authorizeErr = errors.New("wrong zone")
		c := f.listen("c", f.keys("c"), rejecting, false)
		a := f.listen("a", f.keys("a"), newRecordingHandler(), true)
		_ = a.Send(context.Background(), wire.Target{VM: "c", Address: c.Address()}, &textMessage{Text: "x"})
		qt.Assert(t, (<-rejecting.faults).Reason, qt.Equals, wire.FaultRefusedPeer)
		qt.Assert(t, rejecting.messages, qt.HasLen, 0)
	})
}

// ReplaceConnection must not close the old connection, since calls can still be open on it.
func TestReplaceConnectionKeepsOpenCalls(t *testing.T) {
	f := newFixture(t)
	receiver := newRecordingHandler()
	var calls sync.WaitGroup
	receiver.serve = func(call *wire.Call) {
		calls.Add(1)
		defer calls.Done()
		envelope, err := call.Read()
		if err == nil {
			_ = call.Write(envelope.Body)
		}
	}
	b := f.listen("b", f.keys("b"), receiver, false)
	a := f.listen("a", f.keys("a"), newRecordingHandler(), true)
	target := wire.Target{VM: "b", Address: b.Address()}
	before, err := a.OpenCall(context.Background(), target)
	f.c.Assert(err, qt.IsNil)
	a.ReplaceConnection(target)
	after, err := a.OpenCall(context.Background(), target)
	f.c.Assert(err, qt.IsNil)
	for _, call := range []*wire.Call{after, before} {
		f.c.Assert(call.Write(&textMessage{Text: "x"}), qt.IsNil)
		_, err := call.Read()
		f.c.Assert(err, qt.IsNil)
		call.Close()
	}
}

// TestReplacedKeysAreUsedForNewConnections guards against a transport that keeps the keys it was opened with: a renewed
// certificate would not be used until a restart.
func TestReplacedKeysAreUsedForNewConnections(t *testing.T) {
	f := newFixture(t)
	otherFleet := newFixture(t)
	keys := otherFleet.keys("a")
	receiver := newRecordingHandler()
	b := f.listen("b", f.keys("b"), receiver, false)
	a := f.listen("a", keys, newRecordingHandler(), true)
	target := wire.Target{VM: "b", Address: b.Address()}
	f.c.Assert(a.Send(context.Background(), target, &textMessage{Text: "x"}), qt.IsNotNil)
	pair, err := f.authority.Issue(wire.Identity{Role: "entry", Zone: "zone-a", VM: "a"}, time.Now(), identityValidity)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(keys.Replace(pair), qt.IsNil)
	f.c.Assert(a.Send(context.Background(), target, &textMessage{Text: "y"}), qt.IsNil)
	f.c.Assert((<-receiver.messages).Body, qt.DeepEquals, &textMessage{Text: "y"})
}

// blackholeConn drops all packets that are sent on the connections that were in use when dropUsedConnections was called.
type blackholeConn struct {
	net.PacketConn

	mu      sync.Mutex
	used    map[[4]byte]bool
	dropped map[[4]byte]bool
}

func (s *blackholeConn) WriteTo(packet []byte, to net.Addr) (int, error) {
	const longHeader = 0x80
	s.mu.Lock()
	defer s.mu.Unlock()
	// A packet with a short header has the destination connection ID after its first byte; the IDs that quic-go chooses
	// have 4 bytes. Packets with a long header belong to handshakes and are always sent.
	if len(packet) > 4 && packet[0]&longHeader == 0 {
		connectionID := [4]byte(packet[1:5])
		if s.dropped[connectionID] {
			return len(packet), nil
		}
		s.used[connectionID] = true
	}
	return s.PacketConn.WriteTo(packet, to)
}

func (s *blackholeConn) dropUsedConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped, s.used = s.used, map[[4]byte]bool{}
}

// TestSendUsesNewestConnection: the connection that a process has dialed loses all packets, which the process can't see,
// and the peer opens another one. Sends must use the newer connection.
func TestSendUsesNewestConnection(t *testing.T) {
	f := newFixture(t)
	atA, atB := newRecordingHandler(), newRecordingHandler()
	socket := &blackholeConn{used: map[[4]byte]bool{}}
	wrap := func(inner net.PacketConn) net.PacketConn {
		socket.PacketConn = inner
		return socket
	}
	a := f.listenOver("a", f.keys("a"), atA, wrap)
	b := f.listen("b", f.keys("b"), atB, true)
	toA := wire.Target{VM: "a", Address: a.Address()}
	toB := wire.Target{VM: "b", Address: b.Address()}
	f.c.Assert(a.Send(context.Background(), toB, &textMessage{Text: "dialed"}), qt.IsNil)
	<-atB.messages
	socket.dropUsedConnections()
	b.ReplaceConnection(toA)
	f.c.Assert(b.Send(context.Background(), toA, &textMessage{Text: "new"}), qt.IsNil)
	<-atA.messages
	f.c.Assert(a.Send(context.Background(), toB, &textMessage{Text: "answer"}), qt.IsNil)
	select {
	case envelope := <-atB.messages:
		f.c.Assert(envelope.Body, qt.DeepEquals, &textMessage{Text: "answer"})
	case <-time.After(5 * time.Second):
		f.c.Fatal("the reply was sent over the connection that drops all packets")
	}
}

// TestConcurrentSendReplaceAndClose calls Send, ReplaceConnection and Close concurrently, so that Close empties the pool
// and ReplaceConnection searches it while connections are being dialed. It guards against data races (with -race) and
// against dials after Close.
func TestConcurrentSendReplaceAndClose(t *testing.T) {
	f := newFixture(t)
	receiver := newRecordingHandler()
	receiver.messages = make(chan wire.Envelope, 4096)
	b := f.listen("b", f.keys("b"), receiver, false)
	target := wire.Target{VM: "b", Address: b.Address()}
	const transports, senders, sends = 4, 8, 20
	for range transports {
		a := f.listen("a", f.keys("a"), newRecordingHandler(), true)
		var done sync.WaitGroup
		for range senders {
			done.Go(func() {
				for range sends {
					ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
					// The error is ignored: the deadline is short, and the transport is closed concurrently.
					_ = a.Send(ctx, target, &textMessage{Text: "x"})
					cancel()
					a.ReplaceConnection(target)
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		a.Close()
		f.c.Assert(errors.Is(a.Send(context.Background(), target, &textMessage{Text: "late"}), net.ErrClosed), qt.IsTrue)
		done.Wait()
	}
}
