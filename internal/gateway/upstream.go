package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bramleyspool/bramleyspool/internal/network"
)

// Limits of connections to backend servers.
const (
	// dialTimeout bounds opening a connection. It is a hundred times the delay between zones and far below the deadline
	// of requests without a stream (600 ms).
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection counts as lost. TCP
	// retransmits a lost packet after about 200 ms, and again after twice that.
	unackedTimeout = 1200 * time.Millisecond
	// keepAliveInterval is the interval of keep-alive probes on a connection without traffic. After keepAliveProbes
	// unanswered probes the connection counts as lost.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// idleMargin is how long before the backend server's idle timeout a connection is no longer used.
	idleMargin = time.Second
	// defaultIdleTimeout applies to connections whose backend server announces no idle timeout.
	defaultIdleTimeout = 2 * time.Second
	// maxIdlePerBackend bounds the idle connections to one backend server.
	maxIdlePerBackend = 4
	// maxRefusedIDs bounds the refused requests that are remembered for a connection.
	maxRefusedIDs = 64
	// receiveBuffer is the size of the kernel's buffer for what a server sends, in bytes. The kernel reserves twice as much. It bounds what is
	// unread while a caller does not read its stream. A server 1 ms away still sends a response of 1 MiB in 0.1 s.
	receiveBuffer = 16 << 10
	// connBufferBytes is the size of read buffers. It holds the head of a response, or several events of a stream.
	connBufferBytes = 4 << 10
	// headSpace is the space for a request's head. Longer heads need a second allocation.
	headSpace = 1 << 10
	// maxCopiedBody is the greatest size of a body that is copied behind the head, so that both are sent by one system call.
	maxCopiedBody = 4 << 10
)

// backendConn is a connection to a backend server, used by one request at a time.
type backendConn struct {
	net.Conn
	address   string
	limiter   *headLimiter
	reader    *bufio.Reader
	reused    bool
	idleSince time.Time
	// idleTimeout is how long the connection may be idle and still be reused.
	idleTimeout time.Duration
	// refused has the IDs of the requests that the server refused on this connection. A faulty server may repeat such a refusal, which
	// must not be taken for an answer to a request with the same ID.
	refused []string
}

// close closes the connection. The error is ignored, since the connection is not used again.
func (c *backendConn) close() { _ = c.Conn.Close() }

// reset aborts the connection while a request is in progress. Resetting discards bytes that are not yet delivered: a
// request must not reach a backend server after its caller has left.
func (c *backendConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection has already ended.
		_ = tcp.SetLinger(0)
	}
	c.close()
}

// connPool holds the idle connections to all backend servers, by address.
type connPool struct {
	mu   sync.Mutex
	idle map[string][]*backendConn
	// onOpen is called for each new connection.
	onOpen func()
}

func newConnPool(onOpen func()) *connPool {
	return &connPool{idle: map[string][]*backendConn{}, onOpen: onOpen}
}

// get returns a connection to the address for a request with an ID: an idle one that is still usable, or a new one. With newOnly it
// always opens a new one.
func (p *connPool) get(ctx context.Context, address, id string, newOnly bool) (*backendConn, error) {
	if !newOnly {
		if conn := p.takeIdle(address, id, time.Now()); conn != nil {
			return conn, nil
		}
	}
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         configureSocket,
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.onOpen()
	limiter := &headLimiter{reader: conn}
	return &backendConn{
		Conn: conn, address: address, limiter: limiter, reader: bufio.NewReaderSize(limiter, connBufferBytes), idleTimeout: defaultIdleTimeout,
	}, nil
}

// configureSocket sets TCP_USER_TIMEOUT of a new socket to unackedTimeout, and bounds its receive buffer, which grows to megabytes otherwise.
func configureSocket(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errors.Join(unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds())),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer))
	})
	return errors.Join(err, failed)
}

// takeIdle removes and returns the last used idle connection to the address that is still usable for a request with an ID; nil if
// there is none.
func (p *connPool) takeIdle(address, id string, now time.Time) *backendConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		list := p.idle[address]
		if len(list) == 0 {
			return nil
		}
		conn := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		if now.Sub(conn.idleSince) < conn.idleTimeout && !slices.Contains(conn.refused, id) && conn.reusable() {
			conn.reused = true
			return conn
		}
		conn.close()
	}
}

// reusable reports whether the connection is open and has no unread bytes. Such bytes would belong to no request.
func (c *backendConn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	return !ok || network.IsQuiet(tcp)
}

// put keeps a connection for reuse if the response allows it, and otherwise closes it.
func (p *connPool) put(conn *backendConn, response *http.Response) {
	if response.Close || conn.reader.Buffered() > 0 || len(conn.refused) > maxRefusedIDs {
		conn.close()
		return
	}
	if timeout, ok := announcedIdleTimeout(response.Header); ok {
		conn.idleTimeout = timeout - idleMargin
	}
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.idleTimeout <= 0 || len(p.idle[conn.address]) >= maxIdlePerBackend {
		conn.close()
		return
	}
	p.idle[conn.address] = append(p.idle[conn.address], conn)
}

// announcedIdleTimeout returns the idle timeout in the Keep-Alive field of a response.
func announcedIdleTimeout(header http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// closeExpired closes the connections that have been idle for too long.
func (p *connPool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Sub(conn.idleSince) < conn.idleTimeout {
				kept = append(kept, conn)
				continue
			}
			conn.close()
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// errNothingSent means that no byte of a request was sent.
var errNothingSent = errors.New("no byte of the request was sent")

// backendRequest is a request as sent to a backend server.
type backendRequest struct {
	method, uri, host string
	header            http.Header
	body              []byte
}

// send writes the whole request. The error is errNothingSent if no byte was sent.
func (c *backendConn) send(request *backendRequest) error {
	var buffer bytes.Buffer
	buffer.Grow(headSpace)
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.method, request.uri, request.host)
	if err := request.header.Write(&buffer); err != nil {
		return errNothingSent
	}
	if len(request.body) > 0 || request.method != http.MethodGet && request.method != http.MethodHead {
		fmt.Fprintf(&buffer, "Content-Length: %d\r\n", len(request.body))
	}
	buffer.WriteString("\r\n")
	// The body is not copied unless it is short: it may be the largest part of an entry's memory.
	if len(request.body) <= maxCopiedBody {
		buffer.Write(request.body)
		request.body = nil
	}
	parts := net.Buffers{buffer.Bytes()}
	if len(request.body) > 0 {
		parts = append(parts, request.body)
	}
	written, err := parts.WriteTo(c.Conn)
	if err != nil && written == 0 {
		return errors.Join(errNothingSent, err)
	}
	return err
}

// maxInformational bounds the number of responses read for one request, informational (1xx) ones included.
const maxInformational = 8

// receive reads the head of the final response.
func (c *backendConn) receive(method string) (*http.Response, error) {
	c.limiter.beginHead()
	defer c.limiter.endHead()
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("too many informational responses")
}
