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
	greetingKind  wire.Kind = 1
	unlistedKind  wire.Kind = 2
	messageLimit            = 4096
	identityValid           = time.Hour
)

type greeting struct {
	Text string `cbor:"1,keyasint"`
}

// unlisted is known to the sender only.
type unlisted struct {
	Text string `cbor:"1,keyasint"`
}

type recorder struct {
	refuse   error
	messages chan wire.Envelope
	faults   chan wire.Fault
	serve    func(call *wire.Call)
}

func newRecorder() *recorder {
	return &recorder{messages: make(chan wire.Envelope, 64), faults: make(chan wire.Fault, 64)}
}

func (r *recorder) Authorize(wire.Identity) error { return r.refuse }
func (r *recorder) Receive(_ wire.Identity, envelope wire.Envelope, _ *wire.Conn) {
	r.messages <- envelope
}
func (r *recorder) ServeCall(_ wire.Identity, call *wire.Call) { r.serve(call) }
func (r *recorder) Report(fault wire.Fault)                    { r.faults <- fault }

type fixture struct {
	c         *qt.C
	authority *wire.Authority
	// wrap is put over the socket of the next transport; nil puts nothing.
	wrap func(net.PacketConn) net.PacketConn
}

func newFixture(t *testing.T) *fixture {
	c := qt.New(t)
	authority, err := wire.NewAuthority(time.Now(), identityValid)
	c.Assert(err, qt.IsNil)
	return &fixture{c: c, authority: authority}
}

func (f *fixture) keys(vm ident.VM) *wire.Keys {
	pair, err := f.authority.Issue(wire.Identity{Role: "entry", Zone: "zone-a", VM: vm}, time.Now(), identityValid)
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

func (f *fixture) listen(vm ident.VM, keys *wire.Keys, handler wire.Handler, sender bool) *wire.Transport {
	codec, err := wire.NewCodec()
	f.c.Assert(err, qt.IsNil)
	wire.Register[greeting](codec, greetingKind)
	if sender {
		wire.Register[unlisted](codec, unlistedKind)
	}
	transport, err := wire.Listen(wire.Config{
		Address:         "127.0.0.1:0",
		Self:            ident.Instance{VM: vm, Incarnation: 1},
		Keys:            keys,
		Codec:           codec,
		MaxMessageBytes: messageLimit,
		Stamp:           func() timeline.Stamp { return timeline.Stamp{} },
		Handler:         handler,
		WrapSocket:      f.wrap,
	})
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(transport.Close)
	return transport
}

func TestMessagesAndCallsArrive(t *testing.T) {
	f := newFixture(t)
	receiver := newRecorder()
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
	a := f.listen("a", f.keys("a"), newRecorder(), true)
	target := wire.Target{VM: "b", Address: b.Address()}

	f.c.Assert(a.Send(context.Background(), target, &greeting{Text: "hello"}), qt.IsNil)
	envelope := <-receiver.messages
	f.c.Assert(envelope.From, qt.Equals, ident.Instance{VM: "a", Incarnation: 1})
	f.c.Assert(envelope.Body, qt.DeepEquals, &greeting{Text: "hello"})

	call, err := a.OpenCall(context.Background(), target)
	f.c.Assert(err, qt.IsNil)
	for _, text := range []string{"one", "two"} {
		f.c.Assert(call.Write(&greeting{Text: text}), qt.IsNil)
		answer, err := call.Read()
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(answer.Body, qt.DeepEquals, &greeting{Text: text})
	}
	call.Close()
	_, err = call.Read()
	f.c.Assert(err, qt.ErrorIs, io.EOF)
}

func TestWrongMessagesAreReportedAndDisturbNothing(t *testing.T) {
	cases := []struct {
		name   string
		send   func(a *wire.Transport, target wire.Target) error
		reason wire.FaultReason
	}{
		{"unknown kind", func(a *wire.Transport, target wire.Target) error {
			return a.Send(context.Background(), target, &unlisted{Text: "x"})
		}, wire.FaultMalformed},
		{"oversized", func(a *wire.Transport, target wire.Target) error {
			return a.Send(context.Background(), target, &greeting{Text: string(make([]byte, 2*messageLimit))})
		}, wire.FaultTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			receiver := newRecorder()
			b := f.listen("b", f.keys("b"), receiver, false)
			a := f.listen("a", f.keys("a"), newRecorder(), true)
			target := wire.Target{VM: "b", Address: b.Address()}
			_ = tc.send(a, target)
			f.c.Assert((<-receiver.faults).Reason, qt.Equals, tc.reason)
			f.c.Assert(a.Send(context.Background(), target, &greeting{Text: "after"}), qt.IsNil)
			f.c.Assert((<-receiver.messages).Body, qt.DeepEquals, &greeting{Text: "after"})
		})
	}
}

func TestPeersThatMustNotEnterAreRefused(t *testing.T) {
	stranger := newFixture(t)
	f := newFixture(t)
	receiver := newRecorder()
	b := f.listen("b", f.keys("b"), receiver, false)
	send := func(from *wire.Transport, vm ident.VM) error {
		return from.Send(context.Background(), wire.Target{VM: vm, Address: b.Address()}, &greeting{Text: "x"})
	}

	t.Run("key of another authority", func(t *testing.T) {
		a := f.listen("a", stranger.keys("a"), newRecorder(), true)
		qt.Assert(t, send(a, "b"), qt.IsNotNil)
	})
	t.Run("not who was expected", func(t *testing.T) {
		sender := newRecorder()
		a := f.listen("a", f.keys("a"), sender, true)
		qt.Assert(t, send(a, "c"), qt.ErrorIs, wire.ErrWrongIdentity)
		qt.Assert(t, (<-sender.faults).Reason, qt.Equals, wire.FaultRefusedPeer)
	})
	t.Run("name of another", func(t *testing.T) {
		a := f.listen("a", f.keys("d"), newRecorder(), true)
		qt.Assert(t, send(a, "b"), qt.IsNil)
		qt.Assert(t, (<-receiver.faults).Reason, qt.Equals, wire.FaultForeign)
	})
	t.Run("refused by the handler", func(t *testing.T) {
		strict := newRecorder()
		strict.refuse = errors.New("wrong zone")
		c := f.listen("c", f.keys("c"), strict, false)
		a := f.listen("a", f.keys("a"), newRecorder(), true)
		_ = a.Send(context.Background(), wire.Target{VM: "c", Address: c.Address()}, &greeting{Text: "x"})
		qt.Assert(t, (<-strict.faults).Reason, qt.Equals, wire.FaultRefusedPeer)
		qt.Assert(t, strict.messages, qt.HasLen, 0)
	})
}

func TestRenewKeepsOpenCalls(t *testing.T) {
	f := newFixture(t)
	receiver := newRecorder()
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
	a := f.listen("a", f.keys("a"), newRecorder(), true)
	target := wire.Target{VM: "b", Address: b.Address()}
	before, err := a.OpenCall(context.Background(), target)
	f.c.Assert(err, qt.IsNil)
	a.Renew(target)
	after, err := a.OpenCall(context.Background(), target)
	f.c.Assert(err, qt.IsNil)
	for _, call := range []*wire.Call{after, before} {
		f.c.Assert(call.Write(&greeting{Text: "x"}), qt.IsNil)
		_, err := call.Read()
		f.c.Assert(err, qt.IsNil)
		call.Close()
	}
}

func TestReplacedKeysServeNewConnections(t *testing.T) {
	f := newFixture(t)
	stranger := newFixture(t)
	keys := stranger.keys("a")
	receiver := newRecorder()
	b := f.listen("b", f.keys("b"), receiver, false)
	a := f.listen("a", keys, newRecorder(), true)
	target := wire.Target{VM: "b", Address: b.Address()}
	f.c.Assert(a.Send(context.Background(), target, &greeting{Text: "x"}), qt.IsNotNil)
	pair, err := f.authority.Issue(wire.Identity{Role: "entry", Zone: "zone-a", VM: "a"}, time.Now(), identityValid)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(keys.Replace(pair), qt.IsNil)
	f.c.Assert(a.Send(context.Background(), target, &greeting{Text: "y"}), qt.IsNil)
	f.c.Assert((<-receiver.messages).Body, qt.DeepEquals, &greeting{Text: "y"})
}

// silencer drops what is sent on the connections that were in use when it was switched on.
type silencer struct {
	net.PacketConn

	mu     sync.Mutex
	seen   map[[4]byte]bool
	silent map[[4]byte]bool
}

func (s *silencer) WriteTo(packet []byte, to net.Addr) (int, error) {
	const longHeader = 0x80
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(packet) > 4 && packet[0]&longHeader == 0 {
		id := [4]byte(packet[1:5])
		if s.silent[id] {
			return len(packet), nil
		}
		s.seen[id] = true
	}
	return s.PacketConn.WriteTo(packet, to)
}

func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.seen = s.seen, map[[4]byte]bool{}
}

// TestNewestConnectionIsSentOver shows that a process sends over the connection that its peer
// opened last, although the one that it dialed itself has gone silent unnoticed.
func TestNewestConnectionIsSentOver(t *testing.T) {
	f := newFixture(t)
	atA, atB := newRecorder(), newRecorder()
	socket := &silencer{seen: map[[4]byte]bool{}}
	wrap := func(inner net.PacketConn) net.PacketConn {
		socket.PacketConn = inner
		return socket
	}
	a := f.listenOver("a", f.keys("a"), atA, wrap)
	b := f.listen("b", f.keys("b"), atB, true)
	toA := wire.Target{VM: "a", Address: a.Address()}
	toB := wire.Target{VM: "b", Address: b.Address()}
	f.c.Assert(a.Send(context.Background(), toB, &greeting{Text: "dialed"}), qt.IsNil)
	<-atB.messages
	socket.silence()
	b.Renew(toA)
	f.c.Assert(b.Send(context.Background(), toA, &greeting{Text: "new"}), qt.IsNil)
	<-atA.messages
	f.c.Assert(a.Send(context.Background(), toB, &greeting{Text: "answer"}), qt.IsNil)
	select {
	case envelope := <-atB.messages:
		f.c.Assert(envelope.Body, qt.DeepEquals, &greeting{Text: "answer"})
	case <-time.After(5 * time.Second):
		f.c.Fatal("the answer went over the silent connection")
	}
}

// TestSendsBesideRenewalAndClose shows that sends, renewals and the end of a transport may overlap: connections are
// dropped while they are still being dialed, and none is dialed after the end. It is of use under -race.
func TestSendsBesideRenewalAndClose(t *testing.T) {
	f := newFixture(t)
	receiver := newRecorder()
	receiver.messages = make(chan wire.Envelope, 4096)
	b := f.listen("b", f.keys("b"), receiver, false)
	target := wire.Target{VM: "b", Address: b.Address()}
	const transports, senders, sends = 4, 8, 20
	for range transports {
		a := f.listen("a", f.keys("a"), newRecorder(), true)
		var done sync.WaitGroup
		for range senders {
			done.Go(func() {
				for range sends {
					ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
					// Sends may fail: their time is short, and the transport closes meanwhile.
					_ = a.Send(ctx, target, &greeting{Text: "x"})
					cancel()
					a.Renew(target)
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		a.Close()
		f.c.Assert(errors.Is(a.Send(context.Background(), target, &greeting{Text: "late"}), net.ErrClosed), qt.IsTrue)
		done.Wait()
	}
}
