package gateway

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A call that was refused before its body was read left the connection to the next request while net/http still read it: the next request
// got no response. Each refusal must either announce that the connection closes or leave it to the next request, and no byte of a body may
// be taken for a request.
func TestConnectionAfterARefusedBody(t *testing.T) {
	hidden := "GET /lookup/hidden HTTP/1.1\r\nHost: h.example\r\nX-Credential: key\r\nX-Request: hidden\r\n\r\n"
	text := func(bytes int) string { return strings.Repeat(hidden, bytes/len(hidden)+1)[:bytes] }
	length := func(bytes int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", bytes, text(bytes)) }
	chunks := func(bytes int) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", bytes, text(bytes))
	}
	refused := []struct {
		name, path, credential string
		status                 int
	}{
		{"no route", "/nothing", "key", 404}, {"unknown credential", "/post/x", "none", 401}, {"accepted", "/post/x", "key", 413},
	}
	bodies := map[string]string{
		"length over the limit": length(5000), "length over 256 KiB": length(300 << 10),
		"chunks over the limit": chunks(5000), "chunks over 256 KiB": chunks(300 << 10),
		"length within the limit": length(4000), "chunks within the limit": chunks(4000), "no body": "\r\n",
		"malformed chunk": "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n" + hidden,
		"malformed end":   "Transfer-Encoding: chunked\r\n\r\n5\r\nhello" + hidden,
	}
	for bodyName, body := range bodies {
		for _, test := range refused {
			status := test.status
			switch {
			case test.name != "accepted":
			case strings.HasPrefix(bodyName, "malformed"):
				status = 400
			case strings.HasSuffix(bodyName, "within the limit"), bodyName == "no body":
				status = 200
			}
			for _, pipelined := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, pipelined %t", bodyName, test.name, pipelined), func(t *testing.T) {
					t.Parallel()
					backend := newTestBackend(t, "a", respondWith("answer"))
					g := newTestGateway(t, backend)
					kept := 0
					for i := range 40 {
						caller := g.dial()
						first := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request: first-%d\r\nX-Credential: %s\r\nX-Deadline: 1500\r\n%s",
							test.path, i, test.credential, body)
						next := strings.Replace(rawRequest("GET", "/lookup/next", "", time.Second), "\r\n\r\n", "\r\nX-Other: "+strings.Repeat("x", 12000)+"\r\n\r\n", 1)
						if pipelined {
							first += next
						}
						go caller.write(first)
						got := caller.response()
						g.c.Assert(got.err, qt.IsNil)
						g.c.Assert(got.status, qt.Equals, status)
						if got.connectionClose {
							_, err := io.ReadAll(caller.reader)
							var timeout interface{ Timeout() bool }
							g.c.Assert(errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse)
							continue
						}
						kept++
						if !pipelined {
							caller.write(next)
						}
						got = caller.response()
						g.c.Assert(got.err, qt.IsNil, qt.Commentf("the next request, the %dth time", i))
						g.c.Assert(got.status, qt.Equals, 200)
						caller.conn.Close()
					}
					for _, request := range backend.requests() {
						g.c.Assert(request.uri, qt.Not(qt.Equals), "/lookup/hidden")
					}
					if bodyName == "length within the limit" || status == 200 {
						g.c.Assert(kept, qt.Equals, 40, qt.Commentf("connections that can be used again"))
					}
				})
			}
		}
	}
}
