package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of connections to backend servers.
const (
	// dialTimeout bounds the opening of a connection: a hundred times the delay between zones, and less
	// than a plain request's deadline (600 ms) by far.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection counts as
	// lost. A lost packet is sent again within some 200 ms, twice that for the second time.
	unackedTimeout = 1200 * time.Millisecond
	// keepAliveInterval is the pause between probes of a silent connection; after keepAliveProbes
	// unanswered ones it counts as lost.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// idleMargin is how long before the backend server's idle timeout a connection is given up.
	idleMargin = time.Second
	// defaultIdle is the idle time of connections whose backend server names none.
	defaultIdle = 2 * time.Second
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 4
	// upstreamBuffer holds the head of an answer, or some events of a stream.
	upstreamBuffer = 4 << 10
)

// upstreamConn is a connection to a backend server, used by one request at a time.
type upstreamConn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	reused  bool
	idleAt  time.Time
	// idleLife is how long the server keeps the connection idle.
	idleLife time.Duration
}

// end closes the connection. An error of that is of no use: nothing more is expected of the connection.
func (c *upstreamConn) end() { _ = c.Conn.Close() }

// abandon resets the connection, which has a request in progress. Bytes that are held up on the way are dropped with it: a
// request must not reach a server after its caller has left.
func (c *upstreamConn) abandon() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Without effect on a connection that has ended already.
		_ = tcp.SetLinger(0)
	}
	c.end()
}

// upstreams are the idle connections to all backend servers.
type upstreams struct {
	mu   sync.Mutex
	idle map[string][]*upstreamConn
	// opened counts new connections.
	opened func()
}

func newUpstreams(opened func()) *upstreams {
	return &upstreams{idle: map[string][]*upstreamConn{}, opened: opened}
}

// get returns a connection to the address: an idle one that shows no sign of its end, or a new one.
func (u *upstreams) get(ctx context.Context, address string, fresh bool) (*upstreamConn, error) {
	if !fresh {
		if conn := u.take(address, time.Now()); conn != nil {
			return conn, nil
		}
	}
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         limitUnacked,
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	u.opened()
	return &upstreamConn{Conn: conn, address: address, reader: bufio.NewReaderSize(conn, upstreamBuffer), idleLife: defaultIdle}, nil
}

func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

func (u *upstreams) take(address string, now time.Time) *upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for {
		list := u.idle[address]
		if len(list) == 0 {
			return nil
		}
		conn := list[len(list)-1]
		u.idle[address] = list[:len(list)-1]
		if now.Sub(conn.idleAt) < conn.idleLife && conn.quiet() {
			conn.reused = true
			return conn
		}
		conn.end()
	}
}

// quiet reports whether the connection is open and has no bytes waiting, which would belong to no request.
func (c *upstreamConn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

// put keeps a connection for further requests if the answer allows it.
func (u *upstreams) put(conn *upstreamConn, response *http.Response) {
	if response.Close || conn.reader.Buffered() > 0 {
		conn.end()
		return
	}
	if life, ok := announcedIdle(response.Header); ok {
		conn.idleLife = life - idleMargin
	}
	conn.idleAt = time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if conn.idleLife <= 0 || len(u.idle[conn.address]) >= maxIdlePerServer {
		conn.end()
		return
	}
	u.idle[conn.address] = append(u.idle[conn.address], conn)
}

// announcedIdle returns the idle timeout that a server announces.
func announcedIdle(header http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// sweep closes the connections that were idle for too long.
func (u *upstreams) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for address, list := range u.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Sub(conn.idleAt) < conn.idleLife {
				kept = append(kept, conn)
				continue
			}
			conn.end()
		}
		clear(list[len(kept):])
		u.idle[address] = kept
		if len(kept) == 0 {
			delete(u.idle, address)
		}
	}
}

// errNothingSent means that no byte of a request left.
var errNothingSent = errors.New("no byte of the request was sent")

// upstreamRequest is a request as it goes to a backend server.
type upstreamRequest struct {
	method, uri, host string
	header            http.Header
	body              []byte
}

// send writes the whole request. The error is errNothingSent if no byte left.
func (c *upstreamConn) send(request *upstreamRequest) error {
	var buffer bytes.Buffer
	buffer.Grow(1024 + len(request.body))
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.method, request.uri, request.host)
	if err := request.header.Write(&buffer); err != nil {
		return errNothingSent
	}
	if len(request.body) > 0 || request.method != http.MethodGet && request.method != http.MethodHead {
		fmt.Fprintf(&buffer, "Content-Length: %d\r\n", len(request.body))
	}
	buffer.WriteString("\r\n")
	buffer.Write(request.body)
	written, err := c.Conn.Write(buffer.Bytes())
	if err != nil && written == 0 {
		return errors.Join(errNothingSent, err)
	}
	return err
}

// maxInformational bounds the informational answers before the final one.
const maxInformational = 8

// receive reads the head of the final answer.
func (c *upstreamConn) receive(method string) (*http.Response, error) {
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("too many informational answers")
}
