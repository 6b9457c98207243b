package callerconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/callermem"
)

// testServer is a server whose handler reads the body of each request, and responds once release is closed.
type testServer struct {
	c       *qt.C
	table   *Table
	address string
	release chan struct{}
	// requests is the number of requests that have reached the handler.
	requests atomic.Int64
}

func newTestServer(t *testing.T, maxConnections int, memoryLimit int64) *testServer {
	s := &testServer{c: qt.New(t), release: make(chan struct{})}
	s.table = NewTable(Config{
		MaxConnections: maxConnections, Memory: callermem.NewAccount(memoryLimit), OnDropped: func(*Conn) {}, Refusal: Refusal(nil, testRefusal),
	})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.table.RecordRequest(r)
		s.requests.Add(1)
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.table.RecordRead(r.Context())
		<-s.release
	})}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	tracked, err := s.table.Track(server, inner)
	s.c.Assert(err, qt.IsNil)
	s.address = inner.Addr().String()
	go func() { _ = server.Serve(tracked) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// open opens a connection, sends text and waits until the table has it and the server has read the text.
func (s *testServer) open(text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	s.c.Assert(err, qt.IsNil)
	for end := time.Now().Add(5 * time.Second); !s.hasRead(conn, text); time.Sleep(time.Millisecond) {
		s.c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the server has not read %q", text))
	}
	return conn
}

// hasRead reports whether the server has read the text that was sent on a connection and waits for more, or serves it.
func (s *testServer) hasRead(conn net.Conn, text string) bool {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	for known := range s.table.open {
		if known.RemoteAddr().String() == conn.LocalAddr().String() {
			return known.served.Load() || known.reading.Load() && (text == "") == (known.wait.kind == forFirstByte)
		}
	}
	return false
}

// awaitEvictions waits until the table has closed as many connections to make room.
func (s *testServer) awaitEvictions(number int) {
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		s.c.Assert(time.Now().Before(end), qt.IsTrue)
		closed := 0
		s.table.mu.Lock()
		for _, count := range s.table.evictions {
			closed += count
		}
		s.table.mu.Unlock()
		if closed >= number {
			return
		}
	}
}

// remainder returns what the server still sends on the connection, which it closes within a second.
func (s *testServer) remainder(conn net.Conn) string {
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	text, err := io.ReadAll(conn)
	s.c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("the connection stays open"))
	return string(text)
}

// assertRefused fails unless all that the server still sends on the connection is one whole refusal, and it closes the connection.
func (s *testServer) assertRefused(conn net.Conn) {
	rest := s.remainder(conn)
	s.c.Assert(rest, qt.Equals, string(Refusal(nil, testRefusal)))
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(rest)), nil)
	s.c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert([]any{response.StatusCode, response.Close, string(body)}, qt.DeepEquals, []any{http.StatusServiceUnavailable, true, testRefusal})
}

const (
	testHead    = "GET / HTTP/1.1\r\nHost: h\r\n"
	testRefusal = "no room\n"
	ampleLimit  = 64 << 20
)

// A new connection must not end a request that has been read, nor one that its caller sends at this moment.
func TestRoomIsMadeByTheConnectionThatWaitsLongest(t *testing.T) {
	s := newTestServer(t, 4, ampleLimit)
	inService := s.open(testHead + "\r\n")
	incomplete := s.open(testHead)
	unused := s.open("")
	body := s.open("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nfour")
	time.Sleep(patience)
	for range 2 {
		s.open(testHead + "\r\n")
	}
	for _, conn := range []net.Conn{incomplete, unused} {
		s.assertRefused(conn)
	}
	s.open(testHead + "\r\n")
	status := make([]byte, len("HTTP/1.1 503"))
	_, err := io.ReadFull(body, status)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(string(status), qt.Equals, "HTTP/1.1 503")
	close(s.release)
	_, err = io.ReadFull(inService, status)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(string(status), qt.Equals, "HTTP/1.1 200")
	s.c.Assert(s.table.takeEvictions(), qt.DeepEquals, map[Eviction]int{EvictedUnused: 1, EvictedIncomplete: 2})
	s.c.Assert(s.table.takeEvictions(), qt.HasLen, 0)
}

// A caller whose request arrived after its connection had been closed to make room got no response. One that waits on a kept connection has no
// request that could be refused.
func TestLateRequestIsRefused(t *testing.T) {
	s := newTestServer(t, 2, ampleLimit)
	close(s.release)
	late, kept := s.open(""), s.open(testHead+"\r\n")
	response, err := http.ReadResponse(bufio.NewReader(kept), nil)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	time.Sleep(patience)
	for range 2 {
		conn, err := net.Dial("tcp", s.address)
		s.c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
	}
	s.awaitEvictions(2)
	_, err = io.WriteString(late, testHead+"\r\n")
	s.c.Assert(err, qt.IsNil)
	s.assertRefused(late)
	s.c.Assert(s.remainder(kept), qt.Equals, "")
	s.c.Assert(s.requests.Load(), qt.Equals, int64(1))
	s.c.Assert(s.table.takeEvictions(), qt.DeepEquals, map[Eviction]int{EvictedUnused: 1, EvictedIdle: 1})
}

// Callers that are late with the first byte of a request were closed for callers that sent bodies without a pause for longer.
func TestLongBodyMakesRoomBeforeALateFirstByte(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name     string
		bodyAge  time.Duration
		bodyEnds bool
	}{{"a long body", patience, true}, {"a short body", patience - time.Millisecond, false}} {
		t.Run(test.name, func(t *testing.T) {
			waiting, body, late := newWaits(), &Conn{}, &Conn{}
			body.served.Store(true)
			waiting.set(body, forRest, now.Add(-test.bodyAge))
			waiting.set(late, forFirstByte, now.Add(-requestGrace))
			// Bytes of the body wait to be read.
			victim := waiting.victim(now, func(conn *Conn) bool { return conn == late })
			qt.Assert(t, victim == body, qt.Equals, test.bodyEnds)
			qt.Assert(t, victim == late, qt.Equals, !test.bodyEnds)
		})
	}
}

// A caller that sends one request after another lost its connection a few milliseconds after a response, while a crowd opened connections: its
// next request got no response. The crowd's incomplete request makes room instead.
func TestConnectionWithARecentResponseIsKept(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		idle time.Duration
		kept bool
	}{{0, true}, {4 * time.Millisecond, true}, {requestGrace - time.Millisecond, true}, {requestGrace, false}} {
		waiting, kept, incomplete := newWaits(), &Conn{}, &Conn{}
		waiting.set(kept, forNext, now.Add(-test.idle))
		victim := waiting.victim(now, func(*Conn) bool { return true })
		qt.Assert(t, victim == nil, qt.Equals, test.kept, qt.Commentf("idle for %s", test.idle))
		waiting.set(incomplete, forRest, now)
		victim = waiting.victim(now, func(*Conn) bool { return true })
		qt.Assert(t, victim == incomplete, qt.Equals, test.kept, qt.Commentf("idle for %s", test.idle))
	}
}

// The numbers that were taken for a report were counted on while it was written: the runtime ends a process that reads a map meanwhile.
func TestTakenEvictionsAreNotCountedOn(t *testing.T) {
	table := NewTable(Config{MaxConnections: 1, Memory: callermem.NewAccount(0)})
	taken := table.takeEvictions()
	table.recordNotAdmitted()
	qt.Assert(t, taken, qt.HasLen, 0)
	qt.Assert(t, table.takeEvictions(), qt.DeepEquals, map[Eviction]int{NotAdmitted: 1})
}

// A crowd of connections in service must not let the listener accept more than the table allows.
func TestConnectionIsNotAdmittedWhileAllAreInService(t *testing.T) {
	s := newTestServer(t, 2, ampleLimit)
	for range 2 {
		s.open(testHead + "\r\n")
	}
	conn, err := net.Dial("tcp", s.address)
	s.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	for end := time.Now().Add(time.Second); !s.table.Crowded(); time.Sleep(time.Millisecond) {
		s.c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	s.assertRefused(conn)
	s.c.Assert(s.table.takeEvictions(), qt.DeepEquals, map[Eviction]int{NotAdmitted: 1})
	close(s.release)
}

// The largest heads must end when heads hold too much memory, and not those of ordinary callers.
func TestMemoryForHeadsIsTakenFromTheLargest(t *testing.T) {
	s := newTestServer(t, 100, 4<<20)
	close(s.release)
	var fields strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&fields, "f%d:\r\n", i)
	}
	var senders sync.WaitGroup
	var conns []net.Conn
	for range 8 {
		conn := s.open(testHead)
		conns = append(conns, conn)
		senders.Go(func() { _, _ = io.WriteString(conn, fields.String()); _, _ = io.Copy(io.Discard, conn) })
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 20 {
		response, err := client.Get("http://" + s.address)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		_ = response.Body.Close()
	}
	s.c.Assert(s.table.takeEvictions()[EvictedForHead] > 0, qt.IsTrue)
	use := s.table.config.Memory.Use("")
	s.c.Assert(use.Heads <= use.Limits.Heads, qt.IsTrue)
	for _, conn := range conns {
		_ = conn.Close()
	}
	for end := time.Now().Add(5 * time.Second); s.table.Count() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	senders.Wait()
	use = s.table.config.Memory.Use("")
	s.c.Assert(use.Heads+use.Connections, qt.Equals, int64(0))
	s.c.Assert(s.table.endingHeads, qt.Equals, int64(0))
}
