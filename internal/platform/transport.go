package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Limits of each client's transport.
const (
	maxIdleConnections     = 64
	idleConnectionLife     = 30 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

func newTransport(options Options) *http.Transport {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: options.ConnectTimeout}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleConnectionLife,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// errSealed is returned by writes on a connection that sealIfUnchanged has sealed.
var errSealed = errors.New("connection is sealed after a failed request")

// countingConn counts the bytes passed to Write. Once it is sealed, every Write fails, so that
// no byte of a request that was reported as not started is sent later.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written uint64
	sealed  bool
}

// Write counts the bytes before it writes them.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += uint64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// count returns the number of bytes that were written or are being written.
func (c *countingConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sealIfUnchanged makes all further writes fail if no more than count bytes have been written
// so far, and reports whether it did. count is an earlier result of c.count.
func (c *countingConn) sealIfUnchanged(count uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written > count {
		return false
	}
	c.sealed = true
	return true
}

// sendTrace records the connections that were used for one request.
type sendTrace struct {
	mu    sync.Mutex
	conns []tracedConn
	// uncounted is true if a connection was not a countingConn.
	uncounted bool
}

// tracedConn is a connection and its byte count when the request got it.
type tracedConn struct {
	conn  *countingConn
	start uint64
}

func (t *sendTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counted, ok := info.Conn.(*countingConn)
	if !ok {
		t.uncounted = true
		return
	}
	t.conns = append(t.conns, tracedConn{conn: counted, start: counted.count()})
}

// sealIfUnsent reports whether no byte of the request was written. It seals the request's
// connections so that none is written later.
func (t *sendTrace) sealIfUnsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.uncounted {
		return false
	}
	for _, traced := range t.conns {
		if !traced.conn.sealIfUnchanged(traced.start) {
			return false
		}
	}
	return true
}

// preventResend prevents net/http from sending the request again on another connection. By
// default, net/http resends a GET, or a request with an Idempotency-Key, if a reused connection
// breaks before the response and the body is empty or can be read again. preventResend must be
// called before the request is sent.
func preventResend(request *http.Request) {
	request.GetBody = nil
	if request.Body == nil || request.Body == http.NoBody {
		request.Body = emptyBody{}
	}
}

// emptyBody is an empty body that is not http.NoBody, so that net/http treats it as not
// rewindable.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }
