package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/platform"
	"github.com/bramleyspool/bramleyspool/internal/standin"
)

// callTimeout is the clients' timeout in the contract tests, on the synctest clock.
const callTimeout = 5 * time.Second

// maxAnswerBytes is the clients' limit for responses, hugeBytes a size beyond it.
const (
	maxAnswerBytes = 2 << 20
	hugeBytes      = 4 << 20
)

// inBubble runs a test in a synctest bubble, whose fake clock advances when all goroutines are
// blocked.
func inBubble(t *testing.T, test func(c *qt.C)) {
	synctest.Test(t, func(t *testing.T) { test(qt.New(t)) })
}

// pipeListener is a listener whose connections are in-memory pipes.
type pipeListener struct {
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	dialled atomic.Int64
	// unreachable makes dial fail.
	unreachable atomic.Bool
}

// pipeAddress is the address of the dialling end of a pipe.
type pipeAddress string

func (a pipeAddress) Network() string { return "pipe" }
func (a pipeAddress) String() string  { return string(a) }

// pipeConn is the accepted end of a pipe.
type pipeConn struct {
	net.Conn
	remote pipeAddress
}

func (c pipeConn) RemoteAddr() net.Addr { return c.remote }

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddress("pipe") }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if l.unreachable.Load() {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	number := l.dialled.Add(1)
	select {
	case l.conns <- pipeConn{Conn: far, remote: pipeAddress(fmt.Sprintf("pipe-%d", number))}:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// failingLog fails the test with every line that the server logs. Otherwise a panic of a
// stand-in would look like a closed connection.
type failingLog struct{ t testing.TB }

func (l failingLog) Write(line []byte) (int, error) {
	l.t.Errorf("server: %s", line)
	return len(line), nil
}

func newServer(t testing.TB, handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ErrorLog: log.New(failingLog{t}, "", 0)}
}

// listen serves the handler over pipes until the test ends.
func listen(c *qt.C, handler http.Handler) (*pipeListener, platform.Options) {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := newServer(c, handler)
	go server.Serve(l)
	c.Cleanup(func() { server.Close() })
	return l, platform.Options{
		BaseURL: "http://10.0.0.1", Dial: l.dial, Timeout: callTimeout, IdleTimeout: callTimeout, MaxAnswerBytes: maxAnswerBytes,
	}
}

// completionBody returns the body of a model call.
func completionBody(prompt string, maxTokens int, stream bool) []byte {
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": maxTokens, "stream": stream})
	if err != nil {
		panic(err)
	}
	return body
}

// readAll reads a stream to its end and returns its text.
func readAll(stream platform.Stream) (string, error) {
	text := ""
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += chunk.Text
	}
}

// newEngine returns an engine with injected faults, and a client for it.
func newEngine(c *qt.C, options standin.EngineOptions, faults ...standin.Fault) (*standin.Engine, *platform.EngineClient) {
	engine := standin.NewEngine(options)
	c.Cleanup(engine.Close)
	_, clientOptions := listen(c, standin.NewFaults(faults...).Wrap(engine))
	client := platform.NewEngineClient(clientOptions)
	c.Cleanup(client.CloseIdle)
	return engine, client
}

// waitForLateRequests waits until all delayed requests have been handled.
func waitForLateRequests() {
	time.Sleep(10 * time.Minute)
	synctest.Wait()
}

// errorKind returns the kind of an error, "" for nil.
func errorKind(err error) string {
	if err == nil {
		return ""
	}
	return platform.KindOf(err).String()
}
