package gateway

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleyspool/bramleyspool/internal/settings"
)

// maxEndlessBytes is what a server may write before the entry closes the connection: the limits of the entry and what the
// sockets on both sides buffer.
const maxEndlessBytes = 14 << 20

// writeEndlessly writes a start and then the same line until the connection is closed, and counts the bytes.
func writeEndlessly(conn net.Conn, start, line string, written *atomic.Int64) {
	lines := []byte(strings.Repeat(line, 512))
	if _, err := conn.Write([]byte(start)); err != nil {
		return
	}
	for {
		n, err := conn.Write(lines)
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// A server in trouble sends bytes without end, in the head or the body of a response, until the caller closes. An entry
// that reads on needs more memory than its VM has, and keeps the caller waiting until the deadline.
func TestEndlessResponseIsCutOff(t *testing.T) {
	for name, start := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\n",
		"line": "HTTP/1.1 200 OK\r\nX-Long: ",
		"body": "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: id\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			line := "X-Other: value\r\n"
			if name == "line" {
				line = "value "
			}
			var written atomic.Int64
			var used atomic.Bool
			respond := func(conn net.Conn, request receivedRequest) bool {
				if used.CompareAndSwap(false, true) {
					writeEndlessly(conn, start, line, &written)
					return false
				}
				return writeResponse(conn, request, 200, "whole")
			}
			store := newTestStore(newTestBackend(t, "a", respond), newTestBackend(t, "b", respond))
			g := startTestGateway(t, store, func(direct *settings.Direct) { direct.MemoryLimit = 8 << 20 })
			for !g.gateway.ready() {
				time.Sleep(time.Millisecond)
			}
			got := g.get("/lookup/x", "X-Request", "id")
			g.c.Check(got.status, qt.Equals, 200)
			g.c.Check(got.body, qt.Equals, "whole")
			g.c.Check(g.gateway.memory.Use("").Responses, qt.Equals, int64(0))
			g.c.Check(written.Load() < maxEndlessBytes, qt.IsTrue, qt.Commentf("%d bytes", written.Load()))
			g.c.Check(g.gateway.memory.Use("").Responses, qt.Equals, int64(0))
		})
	}
}
