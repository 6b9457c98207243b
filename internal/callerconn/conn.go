package callerconn

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer and sendBuffer are the sizes of the kernel's buffers of a connection in bytes. The kernel reserves twice as much. A
	// caller 1 ms away still sends a body of 4 MiB, the largest that deployments allow, in 0.3 s.
	receiveBuffer = 16 << 10
	sendBuffer    = 32 << 10
	// fieldBytes is the memory that a field of a head takes besides its text: its places in maps and slices.
	fieldBytes = 160
)

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// listener accepts connections that the table admits.
type listener struct {
	net.Listener
	table *Table
}

// Accept waits for the next connection that the table admits. It refuses and closes the others.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		tcp, ok := conn.(*net.TCPConn)
		if !ok || err != nil {
			return conn, err
		}
		if l.awaitRoom() {
			return &Conn{TCPConn: tcp, table: l.table, accepted: time.Now()}, nil
		}
		l.table.recordNotAdmitted()
		l.table.refuse(tcp)
		// The error is ignored: the connection is not used.
		_ = tcp.Close()
	}
}

// awaitRoom waits up to admissionWait until there is room for one more connection.
func (l listener) awaitRoom() bool {
	for end := time.Now().Add(admissionWait); !l.table.admit(time.Now()); time.Sleep(admissionInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// boundBuffers bounds what the kernel buffers for each connection that a TCP listener accepts. Without it the buffers grow to megabytes.
// Connections have the sizes from their handshake on, before they are accepted.
func boundBuffers(inner net.Listener) error {
	tcp, ok := inner.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer))
	})
	return errors.Join(err, failed)
}

// Conn is a caller's connection.
type Conn struct {
	*net.TCPConn
	table    *Table
	accepted time.Time
	// receivedAt is when bytes were last read, in ns after accepted.
	receivedAt atomic.Int64
	// reading is true while a read waits for bytes.
	reading atomic.Bool
	// starved is true while bytes of a head that have been read wait for memory.
	starved atomic.Bool
	// writing is when the present write began, in ns after started; 0 between writes.
	writing atomic.Int64
	// unreadable is true if endReads has ended reads for good.
	unreadable atomic.Bool
	// inService is true from the end of a request's head to the end of its response: bytes that are read belong to no head.
	inService atomic.Bool
	// served is true if the request that is being read or answered has reached the handler.
	served atomic.Bool
	// The fields below belong to the Table.
	state http.ConnState
	// since is when the state began, as a time after accepted.
	since time.Duration
	// headBytes is the memory that the table has taken for the head of the request.
	headBytes int64
	// holdsBody is true while the body of the request holds memory and is incomplete.
	holdsBody bool
	// readsEnded is true from endReads to allowReads.
	readsEnded bool
	// evicted is true if the table closes the connection to make room for others.
	evicted bool
	// evictedEarly is true if that was before a request was read completely.
	evictedEarly bool
	wait         wait
}

// reachesHandler reports whether the head of a request is complete and its handler has not begun.
func (c *Conn) reachesHandler() bool { return c.state == http.StateActive && !c.served.Load() }

// Read records the arrival of bytes, and takes memory for those of a head.
func (c *Conn) Read(p []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.TCPConn.Read(p)
	c.reading.Store(false)
	if n <= 0 {
		return n, err
	}
	c.receivedAt.Store(int64(time.Since(c.accepted)))
	if !c.inService.Load() && !c.table.takeHead(c, int64(n)+fieldBytes*int64(bytes.Count(p[:n], []byte{'\n'}))) {
		// After a timeout net/http closes the connection without a response.
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// Write records for how long the caller has not read what it is sent.
func (c *Conn) Write(p []byte) (int, error) {
	if c.inService.Load() && !c.served.Load() {
		c.table.recordRefusal(c)
	}
	c.writing.Store(int64(time.Since(started)))
	defer c.writing.Store(0)
	return c.TCPConn.Write(p)
}

// SetReadDeadline sets the deadline of reads, unless endReads has ended them for good.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	if c.unreadable.Load() {
		return nil
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// endReads lets reads from the connection fail from now on. If final is false, net/http still reads a request that it has begun to read,
// since it sets another deadline then.
func (c *Conn) endReads(final bool) {
	c.readsEnded = true
	c.unreadable.Store(final)
	// An error means that the connection has already ended.
	_ = c.TCPConn.SetReadDeadline(pastDeadline)
}

// allowReads takes endReads back.
func (c *Conn) allowReads() {
	c.readsEnded = false
	c.unreadable.Store(false)
	_ = c.TCPConn.SetReadDeadline(time.Time{})
}
