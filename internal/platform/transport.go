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

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Limits of the connection pools.
const (
	maxIdleConnections = 64
	idleConnectionLife = 30 * time.Second
	maxHeaderBytes     = 64 << 10
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
			return &countedConn{Conn: conn}, nil
		},
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleConnectionLife,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// errSealed is returned by writes on a connection that was given up before its first byte.
var errSealed = errors.New("connection given up")

// countedConn counts the bytes that are about to be written.
type countedConn struct {
	net.Conn
	mu      sync.Mutex
	written uint64
	sealed  bool
}

// Write counts the bytes before it writes them.
func (c *countedConn) Write(p []byte) (int, error) {
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
func (c *countedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sealIfAt forbids all further writes if not more than count bytes were written.
func (c *countedConn) sealIfAt(count uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written > count {
		return false
	}
	c.sealed = true
	return true
}

// sendTrace follows which connections one request was given.
type sendTrace struct {
	mu    sync.Mutex
	conns []tracedConn
	// opaque is true if the request was given a connection that does not count.
	opaque bool
}

type tracedConn struct {
	conn  *countedConn
	start uint64
}

func (t *sendTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counted, ok := info.Conn.(*countedConn)
	if !ok {
		t.opaque = true
		return
	}
	t.conns = append(t.conns, tracedConn{conn: counted, start: counted.count()})
}

// nothingWritten reports whether no byte of the request was written, and sees to it
// that none will be.
func (t *sendTrace) nothingWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.opaque {
		return false
	}
	for _, traced := range t.conns {
		if !traced.conn.sealIfAt(traced.start) {
			return false
		}
	}
	return true
}

// sendOnce keeps net/http from sending the request again on a new connection, as it
// does with requests whose body can be read twice and that carry an Idempotency-Key,
// and with GET. It must come before the request is used.
func sendOnce(request *http.Request) {
	request.GetBody = nil
	if request.Body == nil || request.Body == http.NoBody {
		request.Body = emptyBody{}
	}
}

// emptyBody is an empty body that net/http can't tell from one that has been read.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }
