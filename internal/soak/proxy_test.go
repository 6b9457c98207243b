package soak

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// echo returns the address of a server that sends back what it gets.
func echo(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func newTestProxy(c *qt.C) (*proxy, func() net.Conn) {
	target := echo(c)
	p, err := newProxy("replica", "127.0.0.1:0", func() string { return target })
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.close)
	return p, func() net.Conn {
		conn, err := net.Dial("tcp", p.listener.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { conn.Close() })
		return conn
	}
}

// answered reports whether a connection gets its bytes back within a moment.
func answered(c *qt.C, conn net.Conn) bool {
	_, err := conn.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	return err == nil
}

func TestProxyDoesTheHarmItIsToldTo(t *testing.T) {
	c := qt.New(t)
	p, dial := newTestProxy(c)
	conn := dial()
	c.Assert(answered(c, conn), qt.IsTrue)
	for _, state := range []proxyState{{dropTo: true}, {dropFrom: true}} {
		p.set(state)
		c.Assert(answered(c, conn), qt.IsFalse, qt.Commentf("%+v", state))
		conn = dial()
	}
	p.set(proxyState{})
	c.Assert(answered(c, conn), qt.IsTrue)
	p.silence()
	c.Assert(answered(c, conn), qt.IsFalse, qt.Commentf("the connection is silent for good"))
	fresh := dial()
	c.Assert(answered(c, fresh), qt.IsTrue, qt.Commentf("a new one works"))
	p.reset()
	c.Assert(fresh.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
	_, err := fresh.Read(make([]byte, 1))
	c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

func TestFaultLogTellsWhatOverlaps(t *testing.T) {
	c := qt.New(t)
	log := faultLog{}
	before := time.Now()
	c.Assert(log.disturbed(before.Add(-time.Hour), before, aboutStore), qt.IsFalse)
	span := log.begin()
	c.Assert(log.disturbed(before, time.Now().Add(time.Millisecond), aboutStore), qt.IsTrue, qt.Commentf("a fault that has not chosen yet"))
	log.concern(span, "replica")
	c.Assert(log.disturbed(before, time.Now().Add(time.Millisecond), "replica"), qt.IsTrue, qt.Commentf("a fault that goes on"))
	c.Assert(log.disturbed(before, time.Now().Add(time.Millisecond), aboutStore, "entry-1"), qt.IsFalse, qt.Commentf("a fault of something else"))
	log.end(span)
	after := time.Now().Add(time.Millisecond)
	c.Assert(log.disturbed(after, after.Add(time.Hour), "replica"), qt.IsFalse)
	c.Assert(log.disturbed(before, after, "replica"), qt.IsTrue)
}
